//! Part of the store of recent events that few threads share.

use std::collections::VecDeque;

use smallvec::SmallVec;

use crate::events::{Code, HybridTime};

/// Longest subject kept without an allocation, in bytes.
const SUBJECT_BYTES: usize = 32;
/// Longest detail kept without an allocation, in bytes.
const DETAIL_BYTES: usize = 48;

/// What an event is about.
pub(crate) type Subject = SmallVec<[u8; SUBJECT_BYTES]>;
/// Details of an event.
pub(crate) type Detail = SmallVec<[u8; DETAIL_BYTES]>;

/// An event as kept; formatted when read.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) seq: u64,
    pub(crate) time: HybridTime,
    pub(crate) at_us: u64,
    pub(crate) code: Code,
    pub(crate) subject: Subject,
    pub(crate) detail: Detail,
}

/// Recent events of some threads.
#[derive(Debug, Default)]
pub(crate) struct Shard {
    /// Invariant: ascending `seq`.
    pub(crate) entries: VecDeque<Entry>,
    /// Position after the last dropped event.
    pub(crate) complete_from: u64,
    /// Dropped events.
    pub(crate) dropped: u64,
}

impl Shard {
    /// Adds an event; drops the oldest when there are `most` already.
    pub(crate) fn push(&mut self, entry: Entry, most: usize) {
        if self.entries.len() >= most
            && let Some(old) = self.entries.pop_front()
        {
            self.complete_from = old.seq + 1;
            self.dropped += 1;
        }
        self.entries.push_back(entry);
    }
}
