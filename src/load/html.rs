//! The report as one self-contained HTML page.

use crate::load::LoadReport;

/// The page, with [`DATA_MARK`] in place of the data.
const PAGE: &str = include_str!("page.html");
/// Placeholder for the data.
const DATA_MARK: &str = "/*DATA*/";

/// Renders the report as a page with plots of latency and of each second of the run.
pub fn html(report: &LoadReport) -> String {
    let data = serde_json::to_string(report).unwrap_or_default();
    // A closing tag inside a text must not end the script.
    PAGE.replacen(DATA_MARK, &data.replace('<', "\\u003c"), 1)
}
