//! Prefix cache: chained block hashes with LRU eviction.

use std::collections::{BTreeMap, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};

use serde::{Deserialize, Serialize};

/// One change of the cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Position in the engine's event sequence.
    pub seq: u64,
    /// Hash of the block and all blocks before it.
    pub block: u64,
    /// True when stored, false when evicted.
    pub stored: bool,
}

/// Cached blocks of one engine.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: usize,
    tick: u64,
    /// Tick of the last use of each block. Invariant: inverse of `ticks`.
    blocks: HashMap<u64, u64>,
    /// Block used at each tick, oldest first.
    ticks: BTreeMap<u64, u64>,
    seq: u64,
    events: Vec<CacheEvent>,
}

impl PrefixCache {
    /// Number of tokens in one block.
    pub const BLOCK: usize = 16;

    /// Creates an empty cache of `capacity` blocks.
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

    /// Number of leading blocks of `chain` that are cached.
    pub fn hits(&self, chain: &[u64]) -> usize {
        chain.iter().take_while(|it| self.blocks.contains_key(it)).count()
    }

    /// Stores all blocks of `chain` and evicts the least recently used beyond the capacity.
    pub fn store(&mut self, chain: &[u64]) {
        for &block in chain {
            self.tick += 1;
            let old = self.blocks.insert(block, self.tick);
            self.ticks.insert(self.tick, block);
            match old {
                Some(tick) => {
                    self.ticks.remove(&tick);
                }
                None => self.record_event(block, true),
            }
        }
        while self.blocks.len() > self.capacity {
            let Some((_, block)) = self.ticks.pop_first() else {
                break;
            };
            self.blocks.remove(&block);
            self.record_event(block, false);
        }
    }

    /// Removes all blocks without events, as a restart does.
    pub fn clear(&mut self) {
        self.blocks.clear();
        self.ticks.clear();
    }

    /// Number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether no block is cached.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Returns the events since the last call.
    pub(crate) fn take_events(&mut self) -> Vec<CacheEvent> {
        std::mem::take(&mut self.events)
    }

    fn record_event(&mut self, block: u64, stored: bool) {
        self.events.push(CacheEvent { seq: self.seq, block, stored });
        self.seq += 1;
    }
}
