//! One router's own view of the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::decide::{ChatTable, Engine, SentTokens};

/// Chats that a router remembers.
const TABLE_CHATS: usize = 32_768;

/// A router.
#[derive(Debug)]
pub struct RouterModel {
    /// Engines on its list, in the order of their names' hashes.
    pub engines: Vec<Engine>,
    /// What it gave to each engine that it ever knew.
    pub sent: BTreeMap<u64, Arc<SentTokens>>,
    /// Where it placed chats.
    pub table: ChatTable,
    /// Index of the last engine of a round robin.
    pub last: usize,
    /// Bytes of control traffic.
    pub bytes: u64,
}

impl RouterModel {
    /// A router that knows no engine.
    pub fn new() -> RouterModel {
        RouterModel {
            engines: Vec::new(),
            sent: BTreeMap::new(),
            table: ChatTable::new(TABLE_CHATS),
            last: 0,
            bytes: 0,
        }
    }

    /// Puts an engine on the list or renews it.
    pub fn add_engine(&mut self, id: u64, incarnation: u64, weight: f64) {
        let sent = Arc::clone(self.sent.entry(id).or_default());
        let engine = Engine { id, incarnation, weight, leaving: false, reported: 0, sent };
        match self.engines.binary_search_by_key(&id, |it| it.id) {
            Ok(at) => self.engines[at] = engine,
            Err(at) => self.engines.insert(at, engine),
        }
    }

    /// Takes an engine off the list.
    pub fn remove_engine(&mut self, id: u64) {
        self.engines.retain(|it| it.id != id);
    }

    /// The engine with `id`, if listed.
    pub fn find(&mut self, id: u64) -> Option<&mut Engine> {
        let at = self.engines.binary_search_by_key(&id, |it| it.id).ok()?;
        Some(&mut self.engines[at])
    }
}

impl Default for RouterModel {
    fn default() -> RouterModel {
        RouterModel::new()
    }
}
