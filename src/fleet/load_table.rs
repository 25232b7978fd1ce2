//! Loads of engines: few routers ask each engine, gossip spreads the reports.

use std::collections::HashMap;

use crate::wire::{LoadReport, WireLoad};

/// Times that a report is passed on.
const SENDS: u32 = 3;

#[derive(Debug)]
struct Load {
    /// Counts the reports of the engine over all routers that ask it.
    seq: u64,
    report: LoadReport,
    /// Tokens when the report was last passed on.
    told: u64,
    sends: u32,
}

/// Newest reports by hash of the engine's name.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: HashMap<u64, Load>,
    /// Engine whose report was repeated last.
    repeated: u64,
}

impl LoadTable {
    /// Takes a report that this router asked for at `at_ms` of wall-clock time.
    pub fn record_report(&mut self, id: u64, report: LoadReport, at_ms: u64) {
        let seq = self.loads.get(&id).map_or(0, |it| it.seq + 1).max(at_ms);
        self.put(id, seq, report);
    }

    /// Takes a report told by a peer; true when it is newer.
    pub fn merge(&mut self, row: &WireLoad) -> bool {
        if self.loads.get(&row.0).is_some_and(|it| it.seq >= row.1) {
            return false;
        }
        let mut report = LoadReport::from(row);
        if let Some(old) = self.loads.get_mut(&row.0)
            && old.report.incarnation == report.incarnation
        {
            report.loaded = std::mem::take(&mut old.report.loaded);
            report.fencing = old.report.fencing;
        }
        self.put(row.0, row.1, report);
        true
    }

    fn put(&mut self, id: u64, seq: u64, report: LoadReport) {
        let old = self.loads.get(&id);
        let same = old
            .is_some_and(|it| digest(id, 0, &it.report) == digest(id, 0, &report) && it.sends == 0);
        let told = old.filter(|it| it.report.incarnation == report.incarnation).map(|it| it.told);
        let sends = if same { 0 } else { SENDS };
        self.loads.insert(id, Load { seq, report, told: told.unwrap_or(u64::MAX), sends });
    }

    /// The newest report of an engine.
    pub fn get(&self, id: u64) -> Option<&LoadReport> {
        self.loads.get(&id).map(|it| &it.report)
    }

    /// Sequence number of the newest report of an engine; 0 without report.
    pub fn seq(&self, id: u64) -> u64 {
        self.loads.get(&id).map_or(0, |it| it.seq)
    }

    /// Forgets engines that are not `known`.
    pub fn retain(&mut self, known: impl Fn(u64) -> bool) {
        self.loads.retain(|id, _| known(*id));
    }

    /// A report to pass on although it did not change, each in its turn: a peer
    /// may have joined after it was passed on.
    pub fn next_resend(&mut self) -> Option<WireLoad> {
        let after = |id: &u64| id.wrapping_sub(self.repeated).wrapping_sub(1);
        let id = self.loads.keys().copied().min_by_key(after)?;
        self.repeated = id;
        self.loads.get(&id).map(|it| digest(id, it.seq, &it.report))
    }

    /// Reports to pass on, the largest change of tokens first, at most `most`.
    pub fn pending(&mut self, most: usize) -> Vec<WireLoad> {
        let mut fresh: Vec<_> = self.loads.iter_mut().filter(|(_, it)| it.sends > 0).collect();
        fresh.sort_by_key(|(id, it)| (std::cmp::Reverse(it.report.tokens.abs_diff(it.told)), **id));
        fresh
            .into_iter()
            .take(most)
            .map(|(id, it)| {
                it.sends -= 1;
                it.told = it.report.tokens;
                digest(*id, it.seq, &it.report)
            })
            .collect()
    }
}

fn digest(id: u64, seq: u64, it: &LoadReport) -> WireLoad {
    WireLoad(id, seq, it.incarnation, [it.tokens, it.running, it.queued, it.slots])
}
