//! Events of all processes in causal order.

use std::collections::BTreeMap;

use crate::events::{Code, Event, EventPage};
use crate::timeline::{Gap, LogLine, Process};

/// Events of all processes in causal order.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Timeline {
    /// Invariant: in the order of hybrid logical time.
    pub events: Vec<Event>,
    /// The processes by name, those that told nothing among them.
    pub processes: BTreeMap<String, Process>,
}

impl Timeline {
    /// Adds what one process told when the reader's clock showed `now_us`.
    pub fn add(&mut self, page: EventPage, now_us: u64) {
        let until = page.events.iter().find(|it| it.seq >= page.complete_from);
        let gap = Gap { dropped: page.dropped, until_us: until.map(|it| it.at_us) };
        let process = Process {
            name: page.instance.clone(),
            missing: None,
            started_us: page.started_us,
            ahead_us: page.now_us as i64 - now_us as i64,
            gap: (page.dropped > 0).then_some(gap),
        };
        self.processes.insert(page.instance, process);
        self.events.extend(page.events);
        self.events.sort_by(|a, b| (a.time, &a.instance, a.seq).cmp(&(b.time, &b.instance, b.seq)));
    }

    /// The lines of logs, in their order.
    pub fn from_logs(lines: &[&LogLine]) -> Timeline {
        let mut all = Timeline::default();
        for (seq, line) in (0..).zip(lines) {
            all.events.push(line.to_event(seq));
            let name = line.instance.as_str();
            if !all.processes.contains_key(name) {
                let process = Process { missing: None, ..Process::missing(name, "") };
                all.processes.insert(name.to_owned(), process);
            }
        }
        all
    }

    /// Notes that the process `name` told nothing.
    pub fn add_missing(&mut self, name: &str, fault: &str) {
        self.processes.entry(name.to_owned()).or_insert_with(|| Process::missing(name, fault));
    }

    /// Notes routers that callers were sent to and that are on no list any more.
    pub fn add_delisted(&mut self) {
        let told = self.events.iter().filter(|it| it.code == Code::EntryAnswered.number());
        let lists = told.filter_map(|it| it.detail.split_once("routers="));
        let names: Vec<_> = lists.flat_map(|it| it.1.split(',')).map(str::to_owned).collect();
        for name in names.iter().filter(|it| !it.is_empty()) {
            self.add_missing(name, "callers were sent to it, but it is on the list no more");
        }
    }

    /// Sentences about what is missing.
    pub fn notes(&self) -> Vec<String> {
        let mut notes = Vec::new();
        for it in self.processes.values() {
            if let Some(fault) = &it.missing {
                notes.push(format!("missing: {}: {fault}", it.name));
            }
            if let Some(gap) = &it.gap {
                let until = gap.until_us.map_or_else(|| "the end".to_owned(), clock_time);
                let (name, dropped) = (&it.name, gap.dropped);
                notes.push(format!("gap: {name} dropped {dropped} events, all before {until}"));
            }
        }
        notes
    }
}

/// A wall-clock time in microseconds since 1970 as text, in UTC.
pub(crate) fn clock_time(micros: u64) -> String {
    let time = std::time::UNIX_EPOCH + std::time::Duration::from_micros(micros);
    humantime::format_rfc3339_micros(time).to_string()
}
