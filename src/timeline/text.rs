//! A time line as plain text, one event per line.

use std::fmt::Write;

use crate::timeline::Timeline;
use crate::timeline::timeline::clock_time;

/// The time line as text; notes on missing events come first.
pub fn text(timeline: &Timeline) -> String {
    let mut out = String::new();
    for it in timeline.notes() {
        let _ = writeln!(out, "# {it}");
    }
    let width = timeline.processes.keys().map(String::len).max().unwrap_or(0);
    for it in &timeline.events {
        let time = clock_time(it.time.micros());
        let _ = writeln!(
            out,
            "{time} {:<width$} {} {:<16} {:<32} {}",
            it.instance, it.code, it.name, it.subject, it.detail
        );
    }
    out
}
