//! Loads of engines. Few routers poll each engine; gossip spreads the reports.

use std::collections::HashMap;

use crate::wire::{LoadReport, WireLoad};

/// How many messages carry a report.
const SENDS: u32 = 3;

#[derive(Debug)]
struct Load {
    /// Grows with each report, over all routers that poll the engine.
    seq: u64,
    report: LoadReport,
    /// Tokens in the report that was last sent to a peer; `u64::MAX` before the first
    /// one, which ranks as a large change.
    sent_tokens: u64,
    /// Messages that are still to carry the report.
    sends: u32,
}

/// Newest reports by hash of the engine's name.
#[derive(Debug, Default)]
pub struct LoadTable {
    loads: HashMap<u64, Load>,
    /// Engine whose report was resent last.
    last_resent: u64,
}

impl LoadTable {
    /// Records a report that this router polled at `at_ms` of wall-clock time.
    pub fn record_report(&mut self, id: u64, report: LoadReport, at_ms: u64) {
        let seq = self.loads.get(&id).map_or(0, |it| it.seq + 1).max(at_ms);
        self.put(id, seq, report);
    }

    /// Merges a report received from a peer; true when it is newer. Peers send only the
    /// load: what is loaded and the fencing number stay as known for the incarnation.
    pub fn merge(&mut self, entry: &WireLoad) -> bool {
        let WireLoad(id, seq, ..) = *entry;
        if self.loads.get(&id).is_some_and(|it| it.seq >= seq) {
            return false;
        }
        let mut report = LoadReport::from(entry);
        if let Some(old) = self.loads.get_mut(&id)
            && old.report.incarnation == report.incarnation
        {
            report.loaded = std::mem::take(&mut old.report.loaded);
            report.fencing = old.report.fencing;
        }
        self.put(id, seq, report);
        true
    }

    /// Stores a report; an unchanged one that was sent often enough is not sent again.
    fn put(&mut self, id: u64, seq: u64, report: LoadReport) {
        let old = self.loads.get(&id);
        let is_sent = old
            .is_some_and(|it| entry(id, 0, &it.report) == entry(id, 0, &report) && it.sends == 0);
        let sent = old.filter(|it| it.report.incarnation == report.incarnation);
        let sent_tokens = sent.map_or(u64::MAX, |it| it.sent_tokens);
        let sends = if is_sent { 0 } else { SENDS };
        self.loads.insert(id, Load { seq, report, sent_tokens, sends });
    }

    /// The newest report of an engine.
    pub fn get(&self, id: u64) -> Option<&LoadReport> {
        self.loads.get(&id).map(|it| &it.report)
    }

    /// Sequence number of the newest report of an engine; 0 when there is none.
    pub fn seq(&self, id: u64) -> u64 {
        self.loads.get(&id).map_or(0, |it| it.seq)
    }

    /// Removes engines that are not `known`.
    pub fn retain(&mut self, known: impl Fn(u64) -> bool) {
        self.loads.retain(|id, _| known(*id));
    }

    /// The next report in rotation, whether or not it changed: a peer may have
    /// joined after it was sent.
    pub fn next_resend(&mut self) -> Option<WireLoad> {
        let distance = |id: &u64| id.wrapping_sub(self.last_resent).wrapping_sub(1);
        let id = self.loads.keys().copied().min_by_key(distance)?;
        self.last_resent = id;
        self.loads.get(&id).map(|it| entry(id, it.seq, &it.report))
    }

    /// Reports still to be sent to peers, at most `max`, the largest change of
    /// tokens first; each is counted as sent.
    pub fn pending(&mut self, max: usize) -> Vec<WireLoad> {
        let mut pending: Vec<_> = self.loads.iter_mut().filter(|(_, it)| it.sends > 0).collect();
        pending.sort_by_key(|(id, it)| {
            (std::cmp::Reverse(it.report.tokens.abs_diff(it.sent_tokens)), **id)
        });
        pending
            .into_iter()
            .take(max)
            .map(|(id, it)| {
                it.sends -= 1;
                it.sent_tokens = it.report.tokens;
                entry(*id, it.seq, &it.report)
            })
            .collect()
    }
}

fn entry(id: u64, seq: u64, it: &LoadReport) -> WireLoad {
    WireLoad(id, seq, it.incarnation, [it.tokens, it.running, it.queued, it.slots])
}
