//! What routers tell each other of the other routers: reports in full, sightings and failures.

use std::time::Instant;

use rand::Rng;
use rand::seq::{IteratorRandom, SliceRandom};

use crate::decide::is_news;
use crate::peers::{OwnReport, Peer, PeerFailure, PeerTable};
use crate::wire::{
    Sighting, WireExchange, WireObservation, WirePeerFailure, age_ms, pack_sightings,
    unpack_sightings,
};

/// Most routers that one message reports on in full besides its sender.
const MAX_FORWARDED_REPORTS: usize = 2;
/// The same while routers are alive that read no sightings.
const MAX_REPORTS_WITHOUT_SIGHTINGS: usize = 8;
/// Most sightings in one message.
const MAX_SIGHTINGS: usize = 70;
/// Most failed exchanges in one message.
const MAX_TOLD_FAILURES: usize = 16;

impl PeerTable {
    /// The message that this router sends to others, with reports on some of those that are
    /// alive: first on those that changed lately, then on a random selection.
    pub fn message(&self, own: OwnReport, now: Instant, random: &mut impl Rng) -> WireExchange {
        let OwnReport { ready, leaving, loads, crashes, rules } = own;
        let own = WireObservation { router: self.own().clone(), ready, leaving, age_ms: 0 };
        let others = self.reported(now, random).into_iter().map(|it| WireObservation {
            router: it.router.clone(),
            ready: it.ready,
            leaving: it.leaving,
            age_ms: age_ms(it.last_seen, now),
        });
        WireExchange { own, others: others.collect(), loads, crashes, rules }
    }

    /// The routers that a message reports on in full.
    fn reported(&self, now: Instant, random: &mut impl Rng) -> Vec<&Peer> {
        let limit = match self.alive(now).all(|it| it.sends_sightings) {
            true => MAX_FORWARDED_REPORTS,
            false => MAX_REPORTS_WITHOUT_SIGHTINGS,
        };
        let is_changed = |it: &&Peer| is_news(it.changed, now);
        let mut reported = self.alive(now).filter(is_changed).choose_multiple(random, limit);
        let others = self.alive(now).filter(|it| !is_changed(it));
        reported.extend(others.choose_multiple(random, limit - reported.len()));
        reported
    }

    /// Merges the sightings of the router `sender`, received at `now`. Routers that are not known
    /// yet, or only by another process, are left to reports.
    pub fn merge_sightings(&mut self, sender: &str, sightings: &[u8], now: Instant) {
        let limit = self.silence_limit();
        for it in unpack_sightings(sightings) {
            let Some(peer) = self.by_hash(it.router) else {
                continue;
            };
            let seen_at = now.checked_sub(it.age).filter(|_| it.age < limit);
            let is_current = it.process == peer.process() && peer.refused.is_none();
            if let Some(seen_at) = seen_at.filter(|at| is_current && *at > peer.last_seen) {
                peer.update(it.ready, it.leaving, seen_at, limit, now);
                peer.seen = true;
            }
        }
        if let Some(peer) = self.peers.get_mut(sender) {
            peer.sends_sightings = !sightings.is_empty();
        }
    }

    /// What this router tells others of when it last knew the living ones to be alive, packed. Of
    /// a large fleet these are the newest, which the others are likely to lack, and a random
    /// selection.
    pub fn sightings(&self, now: Instant, random: &mut impl Rng) -> Vec<u8> {
        let mut all: Vec<Sighting> = self.alive(now).map(|it| it.sighting(now)).collect();
        if all.len() > MAX_SIGHTINGS {
            let newest = MAX_SIGHTINGS / 2;
            all.select_nth_unstable_by_key(newest, |it| it.age);
            let mut others = all.split_off(newest);
            let (selected, _) = others.partial_shuffle(random, MAX_SIGHTINGS - newest);
            all.extend_from_slice(selected);
        }
        pack_sightings(all)
    }

    /// Merges exchanges of another router that failed, received at `now`.
    pub fn merge_failures(&mut self, failures: Vec<WirePeerFailure>, now: Instant) {
        let failures = failures.into_iter().filter_map(|it| PeerFailure::from_wire(it, now));
        failures.for_each(|it| self.merge_failure(&it));
    }

    /// Merges that an exchange with a process failed, unless the process was seen later.
    fn merge_failure(&mut self, failure: &PeerFailure) {
        let Some(peer) = self.by_hash(failure.router as u32) else {
            return;
        };
        let is_same = peer.hash == failure.router && peer.router.born == failure.born;
        if is_same && peer.last_seen <= failure.at {
            peer.record_failure(failure.kind, failure.at);
        }
    }

    /// What this router tells others of exchanges that failed lately with processes that were not
    /// seen since.
    pub fn failures(&self, now: Instant) -> Vec<WirePeerFailure> {
        let all = self.peers.values().filter_map(Peer::failure);
        let news = all.filter(|it| is_news(it.at, now)).take(MAX_TOLD_FAILURES);
        news.map(|it| it.to_wire(now)).collect()
    }
}
