//! A time line as one page that needs nothing else.

use serde_json::json;

use crate::timeline::Timeline;

/// The page, with a mark where the data belongs.
const PAGE: &str = include_str!("page.html");
/// The mark.
const DATA_MARK: &str = "/*DATA*/";

/// The time line as a page with one lane for each process and backend server.
pub fn html(timeline: &Timeline) -> String {
    let data = json!({
        "processes": timeline.processes.values().collect::<Vec<_>>(),
        "notes": timeline.notes(),
        "events": timeline.events.iter().map(|it| json!([
            it.time.micros(), it.code, it.name, it.instance, it.subject, it.detail,
        ])).collect::<Vec<_>>(),
    });
    // A closing tag inside a text must not end the script.
    PAGE.replacen(DATA_MARK, &data.to_string().replace('<', "\\u003c"), 1)
}
