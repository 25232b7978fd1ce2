//! Model of a router: its own view of the fleet.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::decide::{ChatTable, Engine, SentTokens};

/// Maximum number of chats in a router's chat table.
const MAX_CHATS: usize = 32_768;

/// A modelled router.
#[derive(Debug)]
pub struct RouterModel {
    /// Known engines, sorted by the hash of their names.
    pub engines: Vec<Engine>,
    /// Tokens sent to each engine that it has ever known.
    pub sent: BTreeMap<u64, Arc<SentTokens>>,
    /// Last placement of chats.
    pub table: ChatTable,
    /// Index of the engine that round robin chose last.
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
            table: ChatTable::new(MAX_CHATS),
            last: 0,
            bytes: 0,
        }
    }

    /// Adds an engine or replaces its entry.
    pub fn add_engine(&mut self, id: u64, incarnation: u64, weight: f64) {
        let sent = Arc::clone(self.sent.entry(id).or_default());
        let engine = Engine { id, incarnation, weight, leaving: false, reported: 0, sent };
        match self.engines.binary_search_by_key(&id, |it| it.id) {
            Ok(at) => self.engines[at] = engine,
            Err(at) => self.engines.insert(at, engine),
        }
    }

    /// Removes an engine.
    pub fn remove_engine(&mut self, id: u64) {
        self.engines.retain(|it| it.id != id);
    }

    /// The engine with `id`, if known.
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
