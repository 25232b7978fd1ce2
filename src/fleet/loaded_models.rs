//! Models and adapters that engines have loaded. The router that polls an engine
//! spreads what it read by gossip.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::decide::{combine, hash_bytes};
use crate::wire::{LoadReport, WireLoadedModels};

/// How many messages carry a change.
const SENDS: u32 = 4;

/// Hashes of the names of what one engine has loaded, in ascending order.
pub type ModelKeys = Arc<[u64]>;

#[derive(Debug)]
struct EngineModels {
    /// Grows with each change, over all routers that poll the engine.
    seq: u64,
    incarnation: u64,
    keys: ModelKeys,
    /// Messages that are still to carry the change.
    sends: u32,
}

/// What engines have loaded, by hash of the engine's name.
#[derive(Debug, Default)]
pub struct LoadedModels {
    engines: BTreeMap<u64, EngineModels>,
    /// Engine whose entry was resent last.
    last_resent: u64,
}

impl LoadedModels {
    /// Records a report that this router polled at `at_ms` of wall-clock time; true
    /// when it changed the entry.
    pub fn record_report(&mut self, id: u64, report: &LoadReport, at_ms: u64) -> bool {
        let keys = keys(report);
        let old = self.engines.get(&id);
        if old.is_some_and(|it| it.incarnation == report.incarnation && it.keys == keys) {
            return false;
        }
        let seq = old.map_or(0, |it| it.seq + 1).max(at_ms);
        let incarnation = report.incarnation;
        self.engines.insert(id, EngineModels { seq, incarnation, keys, sends: SENDS });
        true
    }

    /// Merges an entry received from a peer; true when it is newer.
    pub fn merge(&mut self, entry: &WireLoadedModels) -> bool {
        let WireLoadedModels(id, seq, incarnation, keys) = entry;
        if self.engines.get(id).is_some_and(|it| it.seq >= *seq) {
            return false;
        }
        let mut keys = keys.clone();
        keys.sort_unstable();
        let (seq, incarnation) = (*seq, *incarnation);
        let models = EngineModels { seq, incarnation, keys: keys.into(), sends: SENDS };
        self.engines.insert(*id, models);
        true
    }

    /// What the engine has loaded in `incarnation` or a later one; `None` when that
    /// is not known.
    pub fn get(&self, id: u64, incarnation: u64) -> Option<&ModelKeys> {
        let it = self.engines.get(&id).filter(|it| it.incarnation >= incarnation)?;
        Some(&it.keys)
    }

    /// Removes engines that are not `known`.
    pub fn retain(&mut self, known: impl Fn(u64) -> bool) {
        self.engines.retain(|id, _| known(*id));
    }

    /// Changes still to be sent to peers, at most `max`; each is counted as sent.
    pub fn pending(&mut self, max: usize) -> Vec<WireLoadedModels> {
        let pending = self.engines.iter_mut().filter(|(_, it)| it.sends > 0).take(max);
        pending
            .map(|(id, it)| {
                it.sends -= 1;
                entry(*id, it)
            })
            .collect()
    }

    /// The next entries in rotation, at most `max`, whether or not they changed.
    pub fn resend(&mut self, max: usize) -> Vec<WireLoadedModels> {
        let after = self.engines.range(self.last_resent.saturating_add(1)..);
        let rotation = after.chain(self.engines.range(..=self.last_resent));
        let entries: Vec<_> = rotation.take(max).map(|(id, it)| entry(*id, it)).collect();
        self.last_resent = entries.last().map_or(0, |it| it.0);
        entries
    }

    /// Digest of all entries; tables with the same entries have the same digest.
    pub fn digest(&self) -> u64 {
        self.engines.iter().fold(0, |sum: u64, (id, it)| sum.wrapping_add(combine(*id, it.seq)))
    }
}

fn entry(id: u64, it: &EngineModels) -> WireLoadedModels {
    WireLoadedModels(id, it.seq, it.incarnation, it.keys.to_vec())
}

/// Hashes of all names by which requests may ask for what is loaded: with the
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
