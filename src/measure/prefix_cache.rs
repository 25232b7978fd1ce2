//! Prefix cache of a modelled engine: whole chats, least recently used first out.

use std::collections::{BTreeMap, HashMap};

/// Prefixes by chat.
#[derive(Debug, Clone, Default)]
pub struct PrefixCache {
    capacity: u64,
    used: u64,
    clock: u64,
    /// Tokens and time of the last use.
    chats: HashMap<u64, (u64, u64)>,
    /// Invariant: one entry for each of `chats`.
    order: BTreeMap<u64, u64>,
}

impl PrefixCache {
    /// An empty cache for `capacity` tokens.
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache { capacity, ..PrefixCache::default() }
    }

    /// Tokens of the prefix of `chat`.
    pub fn cached_tokens(&self, chat: u64) -> u64 {
        self.chats.get(&chat).map_or(0, |it| it.0)
    }

    /// Keeps `tokens` of `chat` as the newest entry; tells which chats went out.
    pub fn insert(&mut self, chat: u64, tokens: u64) -> Vec<u64> {
        if let Some((old, at)) = self.chats.remove(&chat) {
            self.used -= old;
            self.order.remove(&at);
        }
        self.clock += 1;
        self.chats.insert(chat, (tokens, self.clock));
        self.order.insert(self.clock, chat);
        self.used += tokens;
        let mut out = Vec::new();
        while self.used > self.capacity {
            let Some((_, oldest)) = self.order.pop_first() else {
                break;
            };
            let (freed, _) = self.chats.remove(&oldest).unwrap_or_default();
            self.used -= freed;
            out.push(oldest);
        }
        out
    }
}
