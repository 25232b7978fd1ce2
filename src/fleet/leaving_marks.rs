//! Leaving marks of backend servers, from the instance list, traffic and peers.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::decide::{combine, hash_bytes};

/// How many messages carry a mark.
const SENDS: u32 = 8;
/// Limit of stored marks; once reached, marks of other backend servers are ignored.
const MAX_MARKS: usize = 4_096;

plain! {
    /// Marks a backend server that takes no new work.
    pub struct LeavingMark {
        /// Name of the backend server.
        pub name: String,
        /// Incarnation that is leaving; 0 when not known.
        pub incarnation: u64,
        /// Time until the mark expires.
        pub remaining: Duration,
    }
}

#[derive(Debug)]
struct StoredMark {
    /// Hash of the name and the incarnation.
    id: u64,
    incarnation: u64,
    until: Instant,
    /// Messages that are still to carry the mark.
    sends: u32,
}

impl StoredMark {
    /// Whether it is still to be sent to peers.
    fn is_pending(&self, now: Instant) -> bool {
        self.sends > 0 && self.until > now
    }

    fn to_mark(&self, name: &str, now: Instant) -> LeavingMark {
        let remaining = self.until.saturating_duration_since(now);
        LeavingMark { name: name.to_owned(), incarnation: self.incarnation, remaining }
    }
}

/// All valid leaving marks by name of the backend server. A mark stays valid while
/// versions of the instance list still show the backend server as live. It ends
/// when it expires or when a new incarnation of the backend server appears.
#[derive(Debug, Default)]
pub struct LeavingMarks {
    marks: Mutex<BTreeMap<String, StoredMark>>,
    /// Notified when traffic adds a mark.
    pub(crate) added: Notify,
}

impl LeavingMarks {
    /// Adds a mark from traffic and, when it is new, notifies control to publish it
    /// and send it to peers; true when it is new.
    pub fn insert(&self, mark: &LeavingMark, now: Instant) -> bool {
        let is_new = self.merge(mark, now);
        if is_new {
            self.added.notify_one();
        }
        is_new
    }

    /// Adds a mark from control or from a peer; true when it is new. A known mark only
    /// has its time extended; messages that are still to carry it have the later time.
    pub fn merge(&self, mark: &LeavingMark, now: Instant) -> bool {
        let mut marks = self.marks.lock().unwrap();
        if marks.len() >= MAX_MARKS && !marks.contains_key(&mark.name) {
            return false;
        }
        let until = now + mark.remaining;
        let old = marks.get(&mark.name).map(|it| it.incarnation);
        if old.is_none_or(|it| it < mark.incarnation) {
            let id = combine(hash_bytes(mark.name.as_bytes()), mark.incarnation);
            let stored = StoredMark { id, incarnation: mark.incarnation, until, sends: SENDS };
            marks.insert(mark.name.clone(), stored);
        } else if let Some(it) = marks.get_mut(&mark.name) {
            it.until = it.until.max(until);
        }
        // A mark of an unknown incarnation already covered this one.
        old.is_none_or(|it| it != 0 && it < mark.incarnation)
    }

    /// Whether this incarnation of the backend server `name` is leaving. A later
    /// incarnation than the marked one is not: it has joined again.
    pub fn is_leaving(&self, name: &str, incarnation: u64, now: Instant) -> bool {
        let marks = self.marks.lock().unwrap();
        marks.get(name).is_some_and(|it| {
            let covers = it.incarnation == 0 || incarnation == 0 || incarnation <= it.incarnation;
            covers && it.until > now
        })
    }

    /// Removes expired marks; true when there were any.
    pub fn expire(&self, now: Instant) -> bool {
        let mut marks = self.marks.lock().unwrap();
        let before = marks.len();
        marks.retain(|_, it| it.until > now);
        marks.len() != before
    }

    /// Number of marks still to be sent to peers, of those whose name is `wanted`.
    pub fn pending_count(&self, now: Instant, wanted: impl Fn(&str) -> bool) -> usize {
        let marks = self.marks.lock().unwrap();
        marks.iter().filter(|(name, it)| it.is_pending(now) && wanted(name)).count()
    }

    /// Marks still to be sent to peers, of those whose name is `wanted`, at most
    /// `max`, the least sent first; each is counted as sent.
    pub fn pending(
        &self,
        max: usize,
        now: Instant,
        wanted: impl Fn(&str) -> bool,
    ) -> Vec<LeavingMark> {
        let mut marks = self.marks.lock().unwrap();
        let mut pending: Vec<(&String, &mut StoredMark)> =
            marks.iter_mut().filter(|(name, it)| it.is_pending(now) && wanted(name)).collect();
        pending.sort_by_key(|(_, it)| std::cmp::Reverse(it.sends));
        pending
            .into_iter()
            .take(max)
            .map(|(name, it)| {
                it.sends -= 1;
                it.to_mark(name, now)
            })
            .collect()
    }

    /// Digest of all valid marks; routers with the same marks have the same digest.
    pub fn digest(&self, now: Instant) -> u64 {
        let marks = self.marks.lock().unwrap();
        let valid = marks.values().filter(|it| it.until > now);
        valid.fold(0, |sum, it| sum.wrapping_add(it.id))
    }

    /// The next valid marks in rotation by name, starting after `last`, at most
    /// `max`, for a peer that has other marks.
    pub fn resend(&self, last: &str, max: usize, now: Instant) -> Vec<LeavingMark> {
        let marks = self.marks.lock().unwrap();
        let (before, after): (Vec<_>, Vec<_>) =
            marks.iter().filter(|(_, it)| it.until > now).partition(|it| it.0.as_str() <= last);
        let rotation = after.into_iter().chain(before).take(max);
        rotation.map(|(name, it)| it.to_mark(name, now)).collect()
    }
}
