//! One part of the store of recent events, shared by few threads.

use std::collections::VecDeque;

use smallvec::SmallVec;

use crate::events::{Code, HybridTime};

/// Length of the longest subject stored without an allocation, in bytes.
const INLINE_SUBJECT_BYTES: usize = 32;
/// Length of the longest detail stored without an allocation, in bytes.
const INLINE_DETAIL_BYTES: usize = 48;

/// What an event is about.
pub(crate) type Subject = SmallVec<[u8; INLINE_SUBJECT_BYTES]>;
/// Details of an event.
pub(crate) type Detail = SmallVec<[u8; INLINE_DETAIL_BYTES]>;

/// A stored event; converted to text when read.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) seq: u64,
    pub(crate) time: HybridTime,
    pub(crate) at_us: u64,
    pub(crate) code: Code,
    pub(crate) subject: Subject,
    pub(crate) detail: Detail,
}

/// Recent events of the threads assigned to this shard.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    /// Invariant: ascending `seq`.
    pub(crate) entries: VecDeque<Entry>,
    /// Position after the last dropped event.
    pub(crate) complete_from: u64,
    /// Number of dropped events.
    pub(crate) dropped: u64,
}

impl Shard {
    /// Adds an event; drops the oldest one when there are `max` already.
    pub(crate) fn push(&mut self, entry: Entry, max: usize) {
        if self.entries.len() >= max
            && let Some(old) = self.entries.pop_front()
        {
            self.complete_from = old.seq + 1;
            self.dropped += 1;
        }
        self.entries.push_back(entry);
    }
}
