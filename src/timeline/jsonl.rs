//! A time line as JSON lines, for programs.

use serde_json::json;

use crate::timeline::Timeline;

/// The time line, one JSON object per line: processes first, then events in causal order.
pub fn jsonl(timeline: &Timeline) -> String {
    let processes = timeline.processes.values().map(|it| json!({ "process": it }));
    let events = timeline.events.iter().map(|it| json!({ "event": it }));
    processes.chain(events).map(|it| format!("{it}\n")).collect()
}
