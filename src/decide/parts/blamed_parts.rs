//! The parts that are blamed for crashes.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::decide::{BlamedPart, Learnt};

/// Limit of blamed parts; above it the one without crashes for longest is dropped.
const MAX_BLAMED: usize = 256;
/// Limits of the blamed parts in one message to another router: of those just learnt, and
/// of others, which are told in turn.
const MAX_NEWS: usize = 8;
const MAX_REPEATED: usize = 4;

/// Blamed parts by id.
#[derive(Debug, Default)]
pub(crate) struct BlamedParts {
    parts: BTreeMap<u64, Learnt<BlamedPart>>,
    /// The part after which the next message continues to repeat.
    repeated: u64,
}

impl BlamedParts {
    /// Adds or updates a part; true if requests with it are refused only from now on.
    pub fn add(&mut self, blame: BlamedPart, now: Instant) -> bool {
        let part = blame.part;
        let mut added = Learnt::new(blame, now);
        let former = self.parts.remove(&part);
        let was_in_force = former.as_ref().is_some_and(|it| it.value.is_in_force(now));
        if let Some(it) = former {
            added.value.merge(it.value.at, &it.value.companions);
            added.at = if was_in_force { it.at } else { now };
        } else if self.parts.len() >= MAX_BLAMED {
            let oldest = self.parts.values().min_by_key(|it| it.value.at).map(|it| it.value.part);
            oldest.and_then(|it| self.parts.remove(&it));
        }
        let is_in_force = added.value.is_in_force(now);
        self.parts.insert(part, added);
        is_in_force && !was_in_force
    }

    /// What is known of `part`, if it is or was blamed.
    pub fn get(&self, part: u64) -> Option<&BlamedPart> {
        self.parts.get(&part).map(|it| &it.value)
    }

    /// Whether requests with `part` are refused.
    pub fn is_in_force(&self, part: u64, now: Instant) -> bool {
        self.get(part).is_some_and(|it| it.is_in_force(now))
    }

    /// Ends the blame of `part`; false if there is none.
    pub fn remove(&mut self, part: u64) -> bool {
        self.parts.remove(&part).is_some()
    }

    /// All of them.
    pub fn all(&self) -> impl Iterator<Item = &BlamedPart> {
        self.parts.values().map(|it| &it.value)
    }

    /// Parts for other routers: those just learnt, and some of the others in turn.
    pub fn news(&mut self, now: Instant) -> Vec<BlamedPart> {
        let fresh = self.parts.values().filter(|it| it.is_news(now)).take(MAX_NEWS);
        let mut told: Vec<BlamedPart> = fresh.map(|it| it.value.clone()).collect();
        let next = self.parts.range(self.repeated..).skip(1).chain(self.parts.range(..));
        let others = next.filter(|(_, it)| !it.is_news(now)).take(MAX_REPEATED);
        let others: Vec<BlamedPart> = others.map(|(_, it)| it.value.clone()).collect();
        self.repeated = others.last().map_or(0, |it| it.part);
        let is_new = |it: &BlamedPart, told: &[BlamedPart]| told.iter().all(|old| old != it);
        for it in others {
            if is_new(&it, &told) {
                told.push(it);
            }
        }
        told
    }

    /// Removes parts that can be forgotten.
    pub fn remove_expired(&mut self, now: Instant) {
        self.parts.retain(|_, it| !it.value.is_expired(now));
    }
}
