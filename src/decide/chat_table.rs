//! A bounded table of where this router last placed each chat.

use std::sync::Mutex;

/// Entries of a set, among which a key may be stored.
const WAYS: usize = 4;
/// Shards, each with its own lock; a power of two.
const SHARDS: usize = 16;

key! {
    /// The engine that caches the prefix of a chat.
    #[derive(Default)]
    pub struct ChatPlace {
        /// Hash of the engine's name.
        pub engine: u64,
        /// Incarnation of the engine.
        pub incarnation: u64,
        /// Length of the prefix in tokens.
        pub tokens: u32,
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    /// Key of the chat; 0 for a free entry.
    key: u64,
    place: ChatPlace,
    /// Value of the shard's clock at the last use.
    last_used: u32,
}

#[derive(Debug)]
struct Shard {
    /// Invariant: consists of complete sets of [`WAYS`] entries.
    entries: Box<[Entry]>,
    /// Uses of the shard; wraps around.
    clock: u32,
}

/// A set-associative table that evicts the least recently used entry of a set.
#[derive(Debug)]
pub struct ChatTable {
    shards: Box<[Mutex<Shard>]>,
}

impl ChatTable {
    /// Returns a table with capacity for at least `chats` chats.
    pub fn new(chats: usize) -> ChatTable {
        let sets = chats.div_ceil(SHARDS * WAYS).max(1);
        let shard = || Shard { entries: vec![Entry::default(); sets * WAYS].into(), clock: 0 };
        ChatTable { shards: (0..SHARDS).map(|_| Mutex::new(shard())).collect() }
    }

    /// Returns where the chat with `key` was placed last.
    pub fn get(&self, key: u64) -> Option<ChatPlace> {
        self.with_set(key, |set, clock| {
            let entry = set.iter_mut().find(|it| it.key == key)?;
            entry.last_used = clock;
            Some(entry.place)
        })
    }

    /// Records where the chat with `key` was placed.
    pub fn set(&self, key: u64, place: ChatPlace) {
        self.with_set(key, |set, clock| {
            let known = set.iter().position(|it| it.key == key);
            let oldest = || (0..WAYS).min_by_key(|&i| (set[i].key != 0, set[i].last_used));
            if let Some(i) = known.or_else(oldest) {
                set[i] = Entry { key, place, last_used: clock };
            }
        });
    }

    fn with_set<T>(&self, key: u64, act: impl FnOnce(&mut [Entry], u32) -> T) -> T {
        let mut shard = self.shards[key as usize % SHARDS].lock().unwrap();
        shard.clock = shard.clock.wrapping_add(1);
        let clock = shard.clock;
        let sets = shard.entries.len() / WAYS;
        let set = (key >> 32) as usize % sets;
        act(&mut shard.entries[set * WAYS..(set + 1) * WAYS], clock)
    }
}
