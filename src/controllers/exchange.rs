//! Exchanges between routers: what is sent, and to whom.

use std::net::SocketAddr;
use std::time::{Instant, UNIX_EPOCH};

use rand::Rng;
use xtra::prelude::*;

use crate::backend::PlatformError;
use crate::controllers::Publisher;
use crate::controllers::messages::{
    ExchangeDone, IncomingExchange, NextExchange, OutgoingExchange,
};
use crate::decide::hash_bytes;
use crate::events::Code;
use crate::fleet::Purpose;
use crate::wire::{GOSSIP_VERSION, Gossip, MemberStatus, WireCrash, WireMember};

/// Bytes of compressed records that go along unasked; more is announced and fetched.
const INLINE_BYTES: usize = 1_536;
/// Bytes of list lines in one message.
const LINE_BYTES: usize = 500;
/// Rows about routers in one message.
const MEMBERS: usize = 3;
/// Crash reports in one message.
const CRASHES: usize = 8;
/// Load rows in one message.
pub(crate) const MAX_LOAD_ENTRIES: usize = 8;
/// Rows about what engines hold in one message.
const HOLDS: usize = 4;
/// Bytes that regular exchanges leave for urgent ones.
pub(super) const SPARE: f64 = 400.0;
/// Status with which a router turns peers away that its budget cannot pay for.
const BUSY: u16 = 429;
/// Times that a crash report is passed on.
const CRASH_SENDS: u32 = 6;
/// One in this many exchanges tries a router that is held for dead.
const DEAD_TRIES: u32 = 10;

impl Publisher {
    /// A message to `peer` with the urgent only, apart from records; leaving marks
    /// only if `marks` is set.
    pub(super) fn compose(&mut self, peer: &str, marks: bool) -> Gossip {
        let now = self.now();
        let log_age = self.log_seen.map(|it| now.saturating_duration_since(it).as_millis() as u64);
        let mut message = Gossip {
            version: GOSSIP_VERSION,
            from: self.members.own().clone(),
            next: self.state.next,
            chain: self.state.chain,
            log_age,
            marks: Vec::new(),
            marks_digest: Some(self.parts.marks.digest(now)),
            mark_set: None,
            base_chain: None,
            records: Vec::new(),
            want: None,
            part: None,
            members: self.members.entries_for(peer, MEMBERS),
            crashes: self.crash_rows(),
            instances: Vec::new(),
            loads: Vec::new(),
            loaded_models: Vec::new(),
            loaded_digest: Some(self.loaded_models.digest()),
        };
        if marks {
            self.add_marks(&mut message);
        }
        message
    }

    /// Adds what can wait, while there is something left of the budget.
    fn fill(&mut self, message: &mut Gossip) {
        if self.parts.budget.balance(Purpose::Gossip) > 0.0 {
            if message.crashes.is_empty() {
                message.crashes.extend(self.repeated_crash());
            }
            message.instances = self.instance_table.pending(LINE_BYTES);
            message.loaded_models = self.loaded_models.pending(HOLDS);
            if self.models_differ && message.loaded_models.is_empty() {
                message.loaded_models = self.loaded_models.resend(HOLDS);
            }
            message.loads = self.loads.pending(MAX_LOAD_ENTRIES);
            if message.loads.len() < MAX_LOAD_ENTRIES {
                message.loads.extend(self.loads.next_resend());
            }
            self.repeat_marks(message);
        }
    }

    /// Adds the records from offset `from` on, as far as they are few.
    fn add_records(&self, message: &mut Gossip, from: u64) {
        message.records = self.records(from, INLINE_BYTES).unwrap_or_default();
        message.base_chain = self.base(&message.records);
    }

    /// Digest over all records before the first of `records`.
    pub(super) fn base(&self, records: &[(u64, String)]) -> Option<u64> {
        self.history.chain_before(records.first()?.0)
    }

    fn crash_rows(&mut self) -> Vec<WireCrash> {
        let now = self.now();
        let (new, next) = self.parts.crashes.since(self.crash_cursor);
        self.crash_cursor = next;
        self.pending_crashes.extend(new.into_iter().map(|it| (it, CRASH_SENDS)));
        self.pending_crashes.sort_by_key(|it| std::cmp::Reverse(it.1));
        let rows = self.pending_crashes.iter_mut().take(CRASHES).map(|(it, sends)| {
            *sends -= 1;
            it.to_wire(now)
        });
        let rows = rows.collect();
        self.pending_crashes.retain(|it| it.1 > 0);
        rows
    }

    /// One report in turn, for routers that came later or were cut off.
    fn repeated_crash(&mut self) -> Option<WireCrash> {
        let now = self.now();
        let all = self.parts.crashes.current(now);
        self.crash_resends = self.crash_resends.wrapping_add(1);
        let index = self.crash_resends.checked_rem(all.len())?;
        Some(all[index].to_wire(now))
    }

    /// The exchange that passes new records on.
    fn branch_round(&mut self) -> Option<OutgoingExchange> {
        while let Some(peer) = self.record_targets.pop() {
            let known = self.peer_offsets.get(&peer).is_some_and(|it| *it >= self.state.next);
            let addr = self.contacts().0.get(&peer).copied();
            if let Some(addr) = addr.filter(|_| !known && !self.is_busy(&peer)) {
                let mut message = self.compose(&peer, true);
                let told = self.peer_offsets.get(&peer).copied().unwrap_or(0);
                self.add_records(&mut message, self.pending_from.max(told));
                if !message.records.is_empty() {
                    return Some(OutgoingExchange { peer, addr, message, pull: false });
                }
            }
        }
        None
    }

    /// The peer of a regular exchange.
    ///
    /// In each slot of time all routers turn to the one so many places further in
    /// the order of names, the same number for all: each is chosen by one other,
    /// so that nobody is asked by many in one second.
    fn turn(&mut self, slot: u64) -> Option<(String, SocketAddr)> {
        let (live, dead) = self.contacts();
        if live.is_empty() || (!dead.is_empty() && self.rng.random_ratio(1, DEAD_TRIES)) {
            return self.pick();
        }
        let own = self.parts.own.name.as_str();
        let place = live.keys().filter(|it| it.as_str() < own).count() as u64;
        let count = live.len() as u64;
        let further = hash_bytes(&slot.to_le_bytes()) % count;
        let (name, addr) = live.iter().nth(((place + further) % count) as usize)?;
        Some((name.clone(), *addr))
    }

    /// Number of the current slot of time, one for each regular exchange.
    fn slot(&self) -> u64 {
        let wall = self.parts.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        (wall.as_millis() / self.parts.settings.gossip_every.as_millis().max(1)) as u64
    }

    /// A random peer.
    fn pick(&mut self) -> Option<(String, SocketAddr)> {
        let (live, dead) = self.contacts();
        let mut found: Vec<_> = live.iter().collect();
        if !dead.is_empty() && (found.is_empty() || self.rng.random_ratio(1, DEAD_TRIES)) {
            found = dead.iter().collect();
        }
        if found.is_empty() {
            return None;
        }
        let (name, addr) = found[self.rng.random_range(0..found.len())];
        Some((name.clone(), *addr))
    }

    /// Takes a listed router that never answered for a member, so that it can be
    /// suspected; its incarnation 0 is below any that it may tell.
    fn meet(&mut self, name: &str) {
        let Some(it) = self.instance_table.get(name).filter(|_| self.members.get(name).is_none())
        else {
            return;
        };
        let row = WireMember {
            name: it.name.clone(),
            incarnation: 0,
            status: MemberStatus::Alive,
            address: it.address,
            control: it.control.unwrap_or(it.address),
            domain: it.domain.clone(),
        };
        self.members.merge(row, self.now());
    }

    /// Regular upkeep of marks and membership.
    fn expire(&mut self, now: Instant) {
        let dead = self.members.expire(now);
        for name in &dead {
            self.record(Code::RouterDead, name, "");
            self.peer_offsets.remove(name);
        }
        if self.parts.marks.expire(now) || !dead.is_empty() {
            self.publish();
        }
    }
}

impl Handler<NextExchange> for Publisher {
    type Return = Option<OutgoingExchange>;

    async fn handle(
        &mut self,
        message: NextExchange,
        _: &mut Context<Self>,
    ) -> Option<OutgoingExchange> {
        if message.due {
            self.expire(self.now());
        }
        if let Some(round) = self.pull_round() {
            return Some(round);
        }
        if let Some(round) = self.mark_round() {
            return Some(round);
        }
        if let Some(round) = self.branch_round() {
            return Some(round);
        }
        let spare = self.parts.budget.balance(Purpose::Gossip) >= SPARE;
        let due = message.due || (self.exchange_soon && spare);
        if self.urgent_exchanges == 0 && !due {
            return None;
        }
        self.exchange_soon &= !due;
        self.urgent_exchanges = self.urgent_exchanges.saturating_sub(1);
        let (peer, addr) = if due { self.turn(self.slot())? } else { self.pick()? };
        if self.is_busy(&peer) {
            return None;
        }
        let mut round =
            OutgoingExchange { message: self.compose(&peer, true), peer, addr, pull: false };
        if due {
            self.fill(&mut round.message);
        }
        Some(round)
    }
}

impl Handler<ExchangeDone> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: ExchangeDone, ctx: &mut Context<Self>) {
        let ExchangeDone { peer, pull, urgent, reply } = message;
        let mut served = false;
        match reply {
            Ok(mut reply) if reply.version == GOSSIP_VERSION => {
                self.members.record_success(&peer);
                served = reply.part.is_some() || !reply.records.is_empty();
                let part = reply.part.take();
                self.absorb(reply);
                if let Some(part) = part {
                    self.gather(&peer, part);
                }
            }
            Ok(reply) => {
                self.record(Code::PeerRefused, &peer, &format!("version {}", reply.version));
            }
            Err(PlatformError::Status { status: BUSY, body }) => {
                self.members.record_success(&peer);
                self.spare(&peer, &body, urgent, ctx);
            }
            Err(e) => {
                self.peer_offsets.remove(&peer);
                // Its branches get the newest records from here.
                if self.state.next > 0 && !pull {
                    let orphans = self.children_of(&peer);
                    self.record_targets.extend(orphans);
                    self.wake_gossip.notify_one();
                }
                if self.parts.marks.pending_count(self.now(), |_| true) > 0 {
                    let orphans = self.tree_children(&peer);
                    self.mark_targets.extend(orphans);
                    self.wake_gossip.notify_one();
                }
                self.meet(&peer);
                if self.members.record_failure(&peer, self.now()) {
                    self.record(Code::RouterSuspected, &peer, &e.to_string());
                    self.spread();
                }
            }
        }
        if pull {
            let behind = self.peer_offsets.get(&peer).is_some_and(|it| *it > self.state.next);
            match &mut self.pull {
                Some(it) if behind && served => it.busy = false,
                _ => self.pull = None,
            }
            self.wake_gossip.notify_one();
        }
    }
}

impl Handler<IncomingExchange> for Publisher {
    type Return = Gossip;

    async fn handle(&mut self, message: IncomingExchange, _: &mut Context<Self>) -> Gossip {
        let message = message.message;
        let peer = message.from.name.clone();
        let want = message.want;
        let regular = message.records.is_empty() && want.is_none();
        let next = message.next;
        let marked = message.has_marks();
        if message.version == GOSSIP_VERSION {
            self.absorb(message);
        } else {
            self.record(Code::PeerRefused, &peer, &format!("version {}", message.version));
        }
        let mut reply = self.compose(&peer, !marked);
        if let Some(want) = want {
            self.serve(want, &mut reply);
        } else if regular {
            self.add_records(&mut reply, next);
            self.fill(&mut reply);
        }
        if self.members.get(&peer).is_some_and(|it| it.status == MemberStatus::Dead) {
            self.members.record_success(&peer);
        }
        reply
    }
}
