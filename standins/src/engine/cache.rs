//! Prefix cache: chained block hashes, least recently used first out.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

/// One change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's event sequence.
    pub seq: u64,
    /// Hash of the block and all before it.
    pub block: u64,
    /// True when stored, false when evicted.
    pub stored: bool,
}

/// Cached blocks of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    tick: u64,
    /// Invariant: `ticks` and `blocks` are inverse to each other.
    blocks: HashMap<u64, u64>,
    ticks: BTreeMap<u64, u64>,
    seq: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Tokens in one block.
    pub const BLOCK: usize = 16;

    /// An empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> PrefixCache {
        PrefixCache {
            capacity,
            tick: 0,
            blocks: HashMap::new(),
            ticks: BTreeMap::new(),
            seq: 0,
            events: Vec::new(),
        }
    }

    /// Chained hashes of the full blocks of `tokens` under `model`.
    pub fn chain(model: &str, tokens: &[&str]) -> Vec<u64> {
        let mut hasher = DefaultHasher::new();
        model.hash(&mut hasher);
        let mut chain = Vec::with_capacity(tokens.len() / Self::BLOCK);
        for block in tokens.chunks_exact(Self::BLOCK) {
            block.hash(&mut hasher);
            chain.push(hasher.finish());
        }
        chain
    }

    /// How many leading blocks of `chain` are cached.
    pub fn hits(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|it| self.blocks.contains_key(it)).count()
    }

    /// Stores all blocks of `chain`, evicting the least recently used.
    pub fn store(&mut self, chain: &[u64]) {
        for &block in chain {
            self.tick += 1;
            let old = self.blocks.insert(block, self.tick);
            self.ticks.insert(self.tick, block);
            match old {
                Some(tick) => {
                    self.ticks.remove(&tick);
                }
                None => self.note(block, true),
            }
        }
        while self.blocks.len() > self.capacity {
            let Some((_, block)) = self.ticks.pop_first() else {
                break;
            };
            self.blocks.remove(&block);
            self.note(block, false);
        }
    }

    /// Forgets everything, as a restart does.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.ticks.clear();
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Takes the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn note(&mut self, block: u64, stored: bool) {
        self.events.push(CacheEvent { seq: self.seq, block, stored });
        self.seq += 1;
    }
}
