//! Prefix cache of a modelled engine: entire chats, evicted least recently used first.

use std::collections::{BTreeMap, HashMap};

/// LRU cache of prefix lengths by chat.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    capacity: u64,
    used: u64,
    clock: u64,
    /// Tokens and logical time of the last use by chat.
    chats: HashMap<u64, (u64, u64)>,
    /// Chats by logical time of the last use. Invariant: one entry for each of `chats`.
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// An empty cache for `capacity` tokens.
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Cached tokens of the prefix of `chat`; 0 if it is not cached.
    pub fn cached_tokens(&self, chat: u64) -> u64 {
        self.chats.get(&chat).map_or(0, |it| it.0)
    }

    /// Stores `tokens` of `chat` as the newest entry; returns the evicted chats.
    pub fn insert(&mut self, chat: u64, tokens: u64) -> Vec<u64> {
        if let Some((old, at)) = self.chats.remove(&chat) {
            self.used -= old;
            self.order.remove(&at);
        }
        self.clock += 1;
        self.chats.insert(chat, (tokens, self.clock));
        self.order.insert(self.clock, chat);
        self.used += tokens;
        let mut evicted = Vec::new();
        while self.used > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            let (freed, _) = self.chats.remove(&oldest).unwrap_or_default();
            self.used -= freed;
            evicted.push(oldest);
        }
        evicted
    }
}
