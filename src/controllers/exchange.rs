//! Exchanges between routers: the content of the messages and the choice of peers.

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
use crate::wire::{GOSSIP_VERSION, Gossip, MemberStatus, WireCrash, WireMember, age_ms};

/// Limit of the compressed records in a message that nobody requested, in bytes. More
/// records are announced by their offset and then fetched.
const INLINE_BYTES: usize = 1_536;
/// Limit of the instance list entries in one message, in bytes.
const LIST_BYTES: usize = 500;
/// Maximum number of membership entries in one message.
const MAX_MEMBER_ENTRIES: usize = 3;
/// Maximum number of crash reports in one message.
const MAX_CRASH_ENTRIES: usize = 8;
/// Maximum number of load entries in one message.
pub(crate) const MAX_LOAD_ENTRIES: usize = 8;
/// Maximum number of entries on loaded models in one message.
const MAX_MODEL_ENTRIES: usize = 4;
/// Balance in bytes that regular exchanges leave for urgent ones.
pub(super) const RESERVED_BYTES: f64 = 400.0;
/// Status with which a router refuses peers while its budget is spent.
const BUSY_STATUS: u16 = 429;
/// How many times a crash report is passed on.
const CRASH_SENDS: u32 = 6;
/// One in this many exchanges goes to a router that is believed dead.
const DEAD_PEER_RATIO: u32 = 10;

impl Publisher {
    /// A message to `peer` with the urgent entries, but without records; with leaving
    /// marks only if `marks` is set.
    pub(super) fn compose(&mut self, peer: &str, marks: bool) -> Gossip {
        let now = self.now();
        let log_age = self.log_seen.map(|it| age_ms(it, now));
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
            members: self.members.entries_for(peer, MAX_MEMBER_ENTRIES),
            crashes: self.crash_entries(),
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

    /// Adds the entries that are not urgent, while the budget is not in debt.
    fn add_regular_entries(&mut self, message: &mut Gossip) {
        if self.parts.budget.balance(Purpose::Gossip) > 0.0 {
            if message.crashes.is_empty() {
                message.crashes.extend(self.resent_crash());
            }
            message.instances = self.instance_table.pending(LIST_BYTES);
            message.loaded_models = self.loaded_models.pending(MAX_MODEL_ENTRIES);
            if self.models_differ && message.loaded_models.is_empty() {
                message.loaded_models = self.loaded_models.resend(MAX_MODEL_ENTRIES);
            }
            message.loads = self.loads.pending(MAX_LOAD_ENTRIES);
            if message.loads.len() < MAX_LOAD_ENTRIES {
                message.loads.extend(self.loads.next_resend());
            }
            self.resend_marks(message);
        }
    }

    /// Adds the records from offset `from` on, up to [`INLINE_BYTES`].
    fn add_records(&self, message: &mut Gossip, from: u64) {
        message.records = self.records(from, INLINE_BYTES).unwrap_or_default();
        message.base_chain = self.base(&message.records);
    }

    /// Digest over all records before the first one of `records`.
    pub(super) fn base(&self, records: &[(u64, String)]) -> Option<u64> {
        self.history.chain_before(records.first()?.0)
    }

    fn crash_entries(&mut self) -> Vec<WireCrash> {
        let now = self.now();
        let (new, next) = self.parts.crashes.since(self.crash_cursor);
        self.crash_cursor = next;
        self.pending_crashes.extend(new.into_iter().map(|it| (it, CRASH_SENDS)));
        self.pending_crashes.sort_by_key(|it| std::cmp::Reverse(it.1));
        let entries = self.pending_crashes.iter_mut().take(MAX_CRASH_ENTRIES).map(|(it, sends)| {
            *sends -= 1;
            it.to_wire(now)
        });
        let entries = entries.collect();
        self.pending_crashes.retain(|it| it.1 > 0);
        entries
    }

    /// One crash report in rotation, for routers that joined later or were disconnected.
    fn resent_crash(&mut self) -> Option<WireCrash> {
        let now = self.now();
        let all = self.parts.crashes.current(now);
        self.crash_resends = self.crash_resends.wrapping_add(1);
        let index = self.crash_resends.checked_rem(all.len())?;
        Some(all[index].to_wire(now))
    }

    /// The next exchange that passes new records on.
    fn next_record_exchange(&mut self) -> Option<OutgoingExchange> {
        while let Some(peer) = self.record_targets.pop() {
            let up_to_date = self.peer_offsets.get(&peer).is_some_and(|it| *it >= self.state.next);
            let addr = self.contacts().0.get(&peer).copied();
            if let Some(addr) = addr.filter(|_| !up_to_date && !self.is_busy(&peer)) {
                let mut message = self.compose(&peer, true);
                let peer_next = self.peer_offsets.get(&peer).copied().unwrap_or(0);
                self.add_records(&mut message, self.pending_from.max(peer_next));
                if !message.records.is_empty() {
                    return Some(OutgoingExchange { peer, addr, message, pull: false });
                }
            }
        }
        None
    }

    /// The peer of a regular exchange.
    ///
    /// In each slot of time, every router chooses the peer at the same distance from
    /// itself in the order of names. So each router is chosen by one other, and none gets
    /// many exchanges in one second.
    fn regular_peer(&mut self, slot: u64) -> Option<(String, SocketAddr)> {
        let (live, dead) = self.contacts();
        if live.is_empty() || (!dead.is_empty() && self.rng.random_ratio(1, DEAD_PEER_RATIO)) {
            return self.random_peer();
        }
        let own = self.parts.own.name.as_str();
        let index = live.keys().filter(|it| it.as_str() < own).count() as u64;
        let count = live.len() as u64;
        let distance = hash_bytes(&slot.to_le_bytes()) % count;
        let (name, addr) = live.iter().nth(((index + distance) % count) as usize)?;
        Some((name.clone(), *addr))
    }

    /// Number of the current slot of time, one for each regular exchange.
    fn slot(&self) -> u64 {
        let wall = self.parts.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        (wall.as_millis() / self.parts.settings.gossip_every.as_millis().max(1)) as u64
    }

    /// A random peer.
    fn random_peer(&mut self) -> Option<(String, SocketAddr)> {
        let (live, dead) = self.contacts();
        let mut found: Vec<_> = live.iter().collect();
        if !dead.is_empty() && (found.is_empty() || self.rng.random_ratio(1, DEAD_PEER_RATIO)) {
            found = dead.iter().collect();
        }
        if found.is_empty() {
            return None;
        }
        let (name, addr) = found[self.rng.random_range(0..found.len())];
        Some((name.clone(), *addr))
    }

    /// Adds a listed router that never answered as a member, so that it can be suspected.
    /// Its incarnation 0 is below any that it reports itself.
    fn add_listed_router(&mut self, name: &str) {
        let Some(it) = self.instance_table.get(name).filter(|_| self.members.get(name).is_none())
        else {
            return;
        };
        let entry = WireMember {
            name: it.name.clone(),
            incarnation: 0,
            status: MemberStatus::Alive,
            address: it.address,
            control: it.control.unwrap_or(it.address),
            domain: it.domain.clone(),
        };
        self.members.merge(entry, self.now());
    }

    /// Expires members and leaving marks.
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
        if let Some(exchange) = self.next_pull() {
            return Some(exchange);
        }
        if let Some(exchange) = self.next_mark_exchange() {
            return Some(exchange);
        }
        if let Some(exchange) = self.next_record_exchange() {
            return Some(exchange);
        }
        let has_budget = self.parts.budget.balance(Purpose::Gossip) >= RESERVED_BYTES;
        let due = message.due || (self.exchange_soon && has_budget);
        if self.urgent_exchanges == 0 && !due {
            return None;
        }
        self.exchange_soon &= !due;
        self.urgent_exchanges = self.urgent_exchanges.saturating_sub(1);
        let (peer, addr) = if due { self.regular_peer(self.slot())? } else { self.random_peer()? };
        if self.is_busy(&peer) {
            return None;
        }
        let mut exchange =
            OutgoingExchange { message: self.compose(&peer, true), peer, addr, pull: false };
        if due {
            self.add_regular_entries(&mut exchange.message);
        }
        Some(exchange)
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
                self.merge_message(reply);
                if let Some(part) = part {
                    self.collect_part(&peer, part);
                }
            }
            Ok(reply) => {
                self.record(Code::PeerRefused, &peer, &format!("version {}", reply.version));
            }
            Err(PlatformError::Status { status: BUSY_STATUS, body }) => {
                self.members.record_success(&peer);
                self.back_off_from(&peer, &body, urgent, ctx);
            }
            Err(e) => {
                self.peer_offsets.remove(&peer);
                // This router passes the newest records on to the children of the peer.
                if self.state.next > 0 && !pull {
                    let children = self.record_children(&peer);
                    self.record_targets.extend(children);
                    self.wake_gossip.notify_one();
                }
                if self.parts.marks.pending_count(self.now(), |_| true) > 0 {
                    let children = self.mark_children(&peer);
                    self.mark_targets.extend(children);
                    self.wake_gossip.notify_one();
                }
                self.add_listed_router(&peer);
                if self.members.record_failure(&peer, self.now()) {
                    self.record(Code::RouterSuspected, &peer, &e.to_string());
                    self.request_urgent_exchanges();
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
            self.merge_message(message);
        } else {
            self.record(Code::PeerRefused, &peer, &format!("version {}", message.version));
        }
        let mut reply = self.compose(&peer, !marked);
        if let Some(want) = want {
            self.serve(want, &mut reply);
        } else if regular {
            self.add_records(&mut reply, next);
            self.add_regular_entries(&mut reply);
        }
        if self.members.get(&peer).is_some_and(|it| it.status == MemberStatus::Dead) {
            self.members.record_success(&peer);
        }
        reply
    }
}
