//! Leaving marks of backend servers, from any source.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::decide::{combine, hash_bytes};

/// Times that a mark is passed on.
const SENDS: u32 = 8;
/// Marks kept at most.
const CAPACITY: usize = 4_096;

plain! {
    /// A backend server that takes no new work.
    pub struct LeavingMark {
        /// Its name.
        pub name: String,
        /// Incarnation that leaves; 0 when not known.
        pub incarnation: u64,
        /// How long the mark still holds.
        pub remaining: Duration,
    }
}

#[derive(Debug)]
struct Kept {
    /// Hash of the name and the incarnation.
    id: u64,
    incarnation: u64,
    until: Instant,
    sends: u32,
}

impl Kept {
    /// Whether it is still to be passed on.
    fn is_fresh(&self, now: Instant) -> bool {
        self.sends > 0 && self.until > now
    }

    fn told(&self, name: &str, now: Instant) -> LeavingMark {
        let remaining = self.until.saturating_duration_since(now);
        LeavingMark { name: name.to_owned(), incarnation: self.incarnation, remaining }
    }
}

/// All leaving marks that hold. A mark outlives list versions that still show
/// the backend server as live, and ends with its time or a new incarnation.
#[derive(Debug, Default)]
pub struct LeavingMarks {
    marks: Mutex<BTreeMap<String, Kept>>,
    /// Told when traffic adds a mark.
    pub(crate) added: Notify,
}

impl LeavingMarks {
    /// Adds a mark that traffic saw, and has it published and passed on; true when
    /// it is news.
    pub fn insert(&self, mark: &LeavingMark, now: Instant) -> bool {
        let news = self.merge(mark, now);
        if news {
            self.added.notify_one();
        }
        news
    }

    /// Adds a mark that control saw or a peer told; true when it is news. The same
    /// mark again only holds longer, which is passed on too.
    pub fn merge(&self, mark: &LeavingMark, now: Instant) -> bool {
        let mut marks = self.marks.lock().unwrap();
        if marks.len() >= CAPACITY && !marks.contains_key(&mark.name) {
            return false;
        }
        let until = now + mark.remaining;
        let old = marks.get(&mark.name).map(|it| it.incarnation);
        if old.is_none_or(|it| it < mark.incarnation) {
            let id = combine(hash_bytes(mark.name.as_bytes()), mark.incarnation);
            let kept = Kept { id, incarnation: mark.incarnation, until, sends: SENDS };
            marks.insert(mark.name.clone(), kept);
        } else if let Some(it) = marks.get_mut(&mark.name) {
            it.until = it.until.max(until);
        }
        // A mark of an unknown incarnation held for this one already.
        old.is_none_or(|it| it != 0 && it < mark.incarnation)
    }

    /// Whether the incarnation of the backend server called `name` is leaving; a
    /// later incarnation than the marked one has joined again.
    pub fn is_leaving(&self, name: &str, incarnation: u64, now: Instant) -> bool {
        let marks = self.marks.lock().unwrap();
        marks.get(name).is_some_and(|it| {
            let same = it.incarnation == 0 || incarnation == 0 || incarnation <= it.incarnation;
            same && it.until > now
        })
    }

    /// Forgets marks whose time is over; true when there were any.
    pub fn expire(&self, now: Instant) -> bool {
        let mut marks = self.marks.lock().unwrap();
        let before = marks.len();
        marks.retain(|_, it| it.until > now);
        marks.len() != before
    }

    /// Number of marks to pass on out of those whose name is `wanted`.
    pub fn pending_count(&self, now: Instant, wanted: impl Fn(&str) -> bool) -> usize {
        let marks = self.marks.lock().unwrap();
        marks.iter().filter(|(name, it)| it.is_fresh(now) && wanted(name)).count()
    }

    /// Marks to pass on whose name is `wanted`, the freshest first, at most `most`.
    pub fn pending(
        &self,
        most: usize,
        now: Instant,
        wanted: impl Fn(&str) -> bool,
    ) -> Vec<LeavingMark> {
        let mut marks = self.marks.lock().unwrap();
        let mut fresh: Vec<(&String, &mut Kept)> =
            marks.iter_mut().filter(|(name, it)| it.is_fresh(now) && wanted(name)).collect();
        fresh.sort_by_key(|(_, it)| std::cmp::Reverse(it.sends));
        fresh
            .into_iter()
            .take(most)
            .map(|(name, it)| {
                it.sends -= 1;
                it.told(name, now)
            })
            .collect()
    }

    /// Digest of all marks that hold; boards with the same marks have the same one.
    pub fn digest(&self, now: Instant) -> u64 {
        let marks = self.marks.lock().unwrap();
        let held = marks.values().filter(|it| it.until > now);
        held.fold(0, |sum, it| sum.wrapping_add(it.id))
    }

    /// Marks after `last` by name, from the first again after the last one, at most
    /// `most`, for a peer that holds others.
    pub fn resend(&self, last: &str, most: usize, now: Instant) -> Vec<LeavingMark> {
        let marks = self.marks.lock().unwrap();
        let (before, after): (Vec<_>, Vec<_>) =
            marks.iter().filter(|(_, it)| it.until > now).partition(|it| it.0.as_str() <= last);
        let turn = after.into_iter().chain(before).take(most);
        turn.map(|(name, it)| it.told(name, now)).collect()
    }
}
