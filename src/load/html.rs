//! The report as one page that needs nothing else.

use crate::load::LoadReport;

/// The page, with a mark where the data belongs.
const PAGE: &str = include_str!("page.html");
/// The mark.
const DATA_MARK: &str = "/*DATA*/";

/// The page with plots of latency and of the run second by second.
pub fn html(report: &LoadReport) -> String {
    let data = serde_json::to_string(report).unwrap_or_default();
    // A closing tag inside a text must not end the script.
    PAGE.replacen(DATA_MARK, &data.replace('<', "\\u003c"), 1)
}
