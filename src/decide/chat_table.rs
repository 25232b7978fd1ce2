//! Where this router last placed each chat; bounded.

use std::sync::Mutex;

/// Entries that one key may take.
const WAYS: usize = 4;
/// Locks; a power of two.
const SHARDS: usize = 16;

key! {
    /// Where a chat's prefix lies.
    #[derive(Default)]
    pub struct ChatPlace {
        /// Engine.
        pub engine: u64,
        /// Its incarnation.
        pub incarnation: u64,
        /// Tokens of the prefix.
        pub tokens: u32,
    }
}

#[derive(Debug, Clone, Copy, Default)]
struct Entry {
    /// Key of the chat; 0 for a free entry.
    key: u64,
    place: ChatPlace,
    /// Time of the last use, in uses of the shard.
    used: u32,
}

#[derive(Debug)]
struct Shard {
    /// Invariant: a whole number of sets of [`WAYS`] entries.
    entries: Box<[Entry]>,
    clock: u32,
}

/// A set-associative table: the least recently used of a set goes first.
#[derive(Debug)]
pub struct ChatTable {
    shards: Box<[Mutex<Shard>]>,
}

impl ChatTable {
    /// A table for at least `chats` chats.
    pub fn new(chats: usize) -> ChatTable {
        let sets = chats.div_ceil(SHARDS * WAYS).max(1);
        let shard = || Shard { entries: vec![Entry::default(); sets * WAYS].into(), clock: 0 };
        ChatTable { shards: (0..SHARDS).map(|_| Mutex::new(shard())).collect() }
    }

    /// Where the chat with `key` was placed last.
    pub fn get(&self, key: u64) -> Option<ChatPlace> {
        self.with_set(key, |set, clock| {
            let entry = set.iter_mut().find(|it| it.key == key)?;
            entry.used = clock;
            Some(entry.place)
        })
    }

    /// Notes where the chat with `key` was placed.
    pub fn set(&self, key: u64, place: ChatPlace) {
        self.with_set(key, |set, clock| {
            let known = set.iter().position(|it| it.key == key);
            let oldest = || (0..WAYS).min_by_key(|&i| (set[i].key != 0, set[i].used));
            if let Some(i) = known.or_else(oldest) {
                set[i] = Entry { key, place, used: clock };
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
