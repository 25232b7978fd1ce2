//! The instance list as the fleet knows it: few read it, gossip spreads changes.

use std::collections::BTreeMap;

use crate::wire::{Instance, Standing, WireLine};

/// Times that a change is passed on.
const SENDS: u32 = 4;

#[derive(Debug)]
struct Line {
    version: u64,
    /// `None` once the instance is gone.
    instance: Option<Instance>,
    sends: u32,
}

/// Lines by instance name, each with a version that only grows.
#[derive(Debug, Default)]
pub struct InstanceTable {
    lines: BTreeMap<String, Line>,
}

impl InstanceTable {
    /// Takes the list as the platform tells it; returns the names whose line changed.
    pub fn update(&mut self, listed: Vec<Instance>) -> Vec<String> {
        let mut listed: BTreeMap<String, Instance> =
            listed.into_iter().map(|it| (it.name.clone(), it)).collect();
        // What a newcomer reads first, the others know already.
        let sends = if self.lines.is_empty() { 0 } else { SENDS };
        let mut changed = Vec::new();
        for (name, line) in &mut self.lines {
            let told = listed.remove(name);
            if told != line.instance {
                line.version += 1;
                line.instance = told;
                line.sends = SENDS;
                changed.push(name.clone());
            }
        }
        for (name, it) in listed {
            changed.push(name.clone());
            self.lines.insert(name, Line { version: 1, instance: Some(it), sends });
        }
        changed
    }

    /// Takes a line told by a peer; true when it changed something. Of two lines
    /// with one version, the more careful holds: gone, leaving, live.
    pub fn merge(&mut self, told: WireLine) -> bool {
        let line = told.line.filter(|it| it.name == told.name);
        let new = Line { version: told.version, instance: line, sends: SENDS };
        match self.lines.get_mut(&told.name) {
            Some(old) if (old.version, care(old)) >= (new.version, care(&new)) => false,
            Some(old) => {
                let changed = old.instance != new.instance;
                *old = new;
                changed
            }
            None => {
                self.lines.insert(told.name, new);
                true
            }
        }
    }

    /// All instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.lines.values().filter_map(|it| it.instance.as_ref())
    }

    /// The instance called `name`.
    pub fn get(&self, name: &str) -> Option<&Instance> {
        self.lines.get(name)?.instance.as_ref()
    }

    /// Changed lines to pass on within `room` bytes.
    pub fn pending(&mut self, room: usize) -> Vec<WireLine> {
        let mut left = room;
        let mut rows = Vec::new();
        let mut fresh: Vec<_> = self.lines.iter_mut().filter(|(_, it)| it.sends > 0).collect();
        fresh.sort_by_key(|(_, it)| std::cmp::Reverse(it.sends));
        for (name, line) in fresh {
            let cost = if line.instance.is_some() { 160 + name.len() } else { 12 + name.len() };
            if cost > left {
                break;
            }
            left -= cost;
            line.sends -= 1;
            rows.push(row(name, line));
        }
        rows
    }

    /// All lines, for a newcomer.
    pub fn entries(&self) -> Vec<WireLine> {
        self.lines.iter().map(|(name, it)| row(name, it)).collect()
    }
}

/// How careful a line is.
fn care(line: &Line) -> u8 {
    match line.instance.as_ref().map(|it| it.standing) {
        Some(Standing::Live) => 0,
        Some(Standing::Leaving) => 1,
        None => 2,
    }
}

fn row(name: &str, line: &Line) -> WireLine {
    WireLine { version: line.version, name: name.to_owned(), line: line.instance.clone() }
}
