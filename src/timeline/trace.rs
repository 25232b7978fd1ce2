//! A time line in the Trace Event Format of trace viewers.

use std::collections::BTreeMap;

use serde_json::{Value, json};

use crate::events::{Code, Event};
use crate::timeline::Timeline;

/// The time line as one JSON document: a process for each router, an instant event
/// for each event and a span for each request.
pub fn trace(timeline: &Timeline) -> String {
    let names = timeline.processes.keys().enumerate();
    let pids: BTreeMap<&str, usize> = names.map(|(i, it)| (it.as_str(), i + 1)).collect();
    let mut out: Vec<Value> = Vec::new();
    for (name, pid) in &pids {
        let args = json!({ "name": name });
        out.push(json!({ "ph": "M", "name": "process_name", "pid": pid, "tid": 0, "args": args }));
    }
    for it in &timeline.events {
        out.push(instant(it, pids.get(it.instance.as_str()).copied().unwrap_or(0)));
    }
    for (first, last) in spans(&timeline.events) {
        let pid = pids.get(first.instance.as_str()).copied().unwrap_or(0);
        for (phase, it) in [("b", first), ("e", last)] {
            out.push(json!({
                "ph": phase, "cat": "request", "name": "request", "id": it.subject,
                "ts": it.time.micros(), "pid": pid, "tid": 0,
            }));
        }
    }
    json!({ "displayTimeUnit": "ms", "traceEvents": out, "notes": timeline.notes() }).to_string()
}

fn instant(it: &Event, pid: usize) -> Value {
    json!({
        "ph": "i", "s": "p", "cat": "event", "name": it.name,
        "ts": it.time.micros(), "pid": pid, "tid": 0,
        "args": { "number": it.code, "subject": it.subject, "detail": it.detail, "seq": it.seq },
    })
}

/// First and last event of each request.
fn spans(events: &[Event]) -> impl Iterator<Item = (&Event, &Event)> {
    let mut spans: BTreeMap<&str, (&Event, &Event)> = BTreeMap::new();
    let begin = |it: &&Event| it.code == Code::RequestReceived.number();
    for it in events.iter().filter(begin) {
        spans.insert(&it.subject, (it, it));
    }
    for it in events {
        if let Some(span) = spans.get_mut(it.subject.as_str()) {
            span.1 = it;
        }
    }
    spans.into_values()
}
