//! What engines hold: the router that asks an engine tells the others.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::decide::{combine, hash_bytes};
use crate::wire::{LoadReport, WireHold};

/// Times that a change is passed on.
const SENDS: u32 = 4;

/// ModelKeys of what one engine holds, in ascending order.
pub type ModelKeys = Arc<[u64]>;

#[derive(Debug)]
struct Hold {
    /// Grows with each change, over all routers that ask the engine.
    seq: u64,
    incarnation: u64,
    keys: ModelKeys,
    sends: u32,
}

/// What engines hold, by hash of their names.
#[derive(Debug, Default)]
pub struct LoadedModels {
    holds: BTreeMap<u64, Hold>,
    /// Engine whose row was repeated last.
    repeated: u64,
}

impl LoadedModels {
    /// Takes what this router read at `at_ms` of wall-clock time; true when it
    /// is news.
    pub fn record_report(&mut self, id: u64, report: &LoadReport, at_ms: u64) -> bool {
        let keys = keys(report);
        let old = self.holds.get(&id);
        if old.is_some_and(|it| it.incarnation == report.incarnation && it.keys == keys) {
            return false;
        }
        let seq = old.map_or(0, |it| it.seq + 1).max(at_ms);
        self.holds.insert(id, Hold { seq, incarnation: report.incarnation, keys, sends: SENDS });
        true
    }

    /// Takes a row told by a peer; true when it is newer.
    pub fn merge(&mut self, row: &WireHold) -> bool {
        if self.holds.get(&row.0).is_some_and(|it| it.seq >= row.1) {
            return false;
        }
        let mut keys = row.3.clone();
        keys.sort_unstable();
        let hold = Hold { seq: row.1, incarnation: row.2, keys: keys.into(), sends: SENDS };
        self.holds.insert(row.0, hold);
        true
    }

    /// What the engine holds in the incarnation `incarnation`; `None` when that
    /// is not known.
    pub fn get(&self, id: u64, incarnation: u64) -> Option<&ModelKeys> {
        let it = self.holds.get(&id).filter(|it| it.incarnation >= incarnation)?;
        Some(&it.keys)
    }

    /// Forgets engines that are not `known`.
    pub fn retain(&mut self, known: impl Fn(u64) -> bool) {
        self.holds.retain(|id, _| known(*id));
    }

    /// Changes to pass on, at most `most`.
    pub fn pending(&mut self, most: usize) -> Vec<WireHold> {
        let fresh = self.holds.iter_mut().filter(|(_, it)| it.sends > 0).take(most);
        fresh
            .map(|(id, it)| {
                it.sends -= 1;
                row(*id, it)
            })
            .collect()
    }

    /// Rows to pass on although they did not change, each in its turn.
    pub fn resend(&mut self, most: usize) -> Vec<WireHold> {
        let after = self.holds.range(self.repeated.saturating_add(1)..);
        let turn = after.chain(self.holds.range(..=self.repeated));
        let rows: Vec<_> = turn.take(most).map(|(id, it)| row(*id, it)).collect();
        self.repeated = rows.last().map_or(0, |it| it.0);
        rows
    }

    /// Digest of all rows; equal where the same is known.
    pub fn digest(&self) -> u64 {
        self.holds.iter().fold(0, |sum: u64, (id, it)| sum.wrapping_add(combine(*id, it.seq)))
    }
}

fn row(id: u64, it: &Hold) -> WireHold {
    WireHold(id, it.seq, it.incarnation, it.keys.to_vec())
}

/// ModelKeys of all names by which requests may ask for what is loaded: with the
/// version and without.
fn keys(report: &LoadReport) -> ModelKeys {
    let mut keys = Vec::with_capacity(report.loaded.len() * 2);
    for it in &report.loaded {
        let bare = if it.adapter.is_empty() { &it.model } else { &it.adapter };
        keys.push(hash_bytes(bare.as_bytes()));
        keys.push(hash_bytes(it.full_name().as_bytes()));
    }
    keys.sort_unstable();
    keys.dedup();
    keys.into()
}
