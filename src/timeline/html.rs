//! A time line as one self-contained HTML page.

use serde_json::json;

use crate::timeline::Timeline;

/// The page, with a placeholder for the data.
const PAGE: &str = include_str!("page.html");
/// The placeholder.
const DATA_PLACEHOLDER: &str = "/*DATA*/";

/// The time line as a page with one lane for each process and backend server.
pub fn html(timeline: &Timeline) -> String {
    let data = json!({
        "processes": timeline.processes.values().collect::<Vec<_>>(),
        "notes": timeline.notes(),
        "events": timeline.events.iter().map(|it| json!([
            it.time.micros(), it.code, it.name, it.instance, it.subject, it.detail,
        ])).collect::<Vec<_>>(),
    });
    // Escaped, so that a closing tag inside a text cannot end the script element.
    PAGE.replacen(DATA_PLACEHOLDER, &data.to_string().replace('<', "\\u003c"), 1)
}
