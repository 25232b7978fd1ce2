//! The actor that owns the control state and publishes the view.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;
use xtra::prelude::*;

use crate::clock::SharedClock;
use crate::controllers::messages::Flush;
use crate::controllers::pull::Pull;
use crate::controllers::view_parts::{pools, routers};
use crate::decide::{SentTokens, combine, hash_bytes};
use crate::events::{Code, EventLog, Fields};
use crate::fleet::{
    Budget, CrashReport, CrashTable, InstanceTable, LeavingMark, LeavingMarks, LoadTable,
    LoadedModels, Members, View, ViewCell,
};
use crate::settings::{Seed, StateSync};
use crate::state::{History, InForce, Ticket};
use crate::wire::{InstanceState, MemberStatus, Role, WireMember};

/// Number of routers that follow the ticket log.
pub(super) const LOG_FOLLOWERS: usize = 3;
/// Hash key by which the routers that follow the log are chosen.
pub(super) const FOLLOWER_KEY: &[u8] = b"ticket log";
/// Delay within which changed loads are collected and published together.
const PUBLISH_DELAY: Duration = Duration::from_millis(20);
/// Number of exchanges with random peers after an urgent change other than new
/// records and marks.
const URGENT_EXCHANGES: u32 = 3;

/// Parts of a [`Publisher`].
#[derive(Debug)]
pub struct PublisherParts {
    /// This router as peers see it.
    pub own: WireMember,
    /// Holds the published view.
    pub cell: Arc<ViewCell>,
    /// Recent events.
    pub events: Arc<EventLog>,
    /// The clock.
    pub clock: SharedClock,
    /// Marks of leaving backend servers.
    pub marks: Arc<LeavingMarks>,
    /// Requests that crashed backend servers.
    pub crashes: Arc<CrashTable>,
    /// Budget of control calls.
    pub budget: Arc<Budget>,
    /// Settings.
    pub settings: StateSync,
    /// Routers that are contacted while no other is known.
    pub seeds: Vec<Seed>,
}

/// Owner of the control state from which the view is built.
#[derive(Debug, xtra::Actor)]
pub struct Publisher {
    pub(super) parts: PublisherParts,
    pub(super) state: Arc<InForce>,
    pub(super) history: History,
    pub(super) members: Members,
    pub(super) instance_table: InstanceTable,
    pub(super) loads: LoadTable,
    pub(super) loaded_models: LoadedModels,
    /// Whether the last peer reported other loaded models: entries may have been lost.
    pub(super) models_differ: bool,
    /// First offset that each peer has not folded, as it last reported.
    pub(super) peer_offsets: HashMap<String, u64>,
    /// When any router last had an answer from the log, as far as known here.
    pub(super) log_seen: Option<Instant>,
    /// Urgent exchanges with random peers that are still to be made.
    pub(super) urgent_exchanges: u32,
    /// Whether a regular exchange is to be made as soon as the budget allows.
    pub(super) exchange_soon: bool,
    /// Peers to which new records are still to be passed on.
    pub(super) record_targets: Vec<String>,
    /// Peers in backoff because their budget was spent.
    pub(super) busy_peers: HashSet<String>,
    /// Peers to which pending leaving marks are still to be passed on.
    pub(super) mark_targets: Vec<String>,
    /// Offset of the first record that is still to be passed on.
    pub(super) pending_from: u64,
    pub(super) pull: Option<Pull>,
    /// Offset of the complete state, its parts, and when one was last requested.
    pub(super) state_parts: Option<(u64, Vec<String>, Instant)>,
    /// Whether the last peer that sent a message had other leaving marks.
    pub(super) marks_differ: bool,
    /// Name of the leaving mark that was resent last.
    pub(super) resent_mark: String,
    /// Crash reports to pass on, and how many more times.
    pub(super) pending_crashes: Vec<(CrashReport, u32)>,
    pub(super) crash_cursor: usize,
    /// Counts resent crash reports.
    pub(super) crash_resends: usize,
    /// Wakes the task that makes exchanges.
    pub(super) wake_gossip: Arc<Notify>,
    pub(super) rng: ChaCha8Rng,
    pub(super) sent_tokens: HashMap<String, Arc<SentTokens>>,
    ready: bool,
    pub(super) flush_pending: bool,
}

impl Publisher {
    /// A publisher without state; it notifies `wake_gossip` when an exchange is to be
    /// made before the next regular one.
    pub fn new(parts: PublisherParts, wake_gossip: Arc<Notify>) -> Publisher {
        let seed = combine(hash_bytes(parts.own.name.as_bytes()), parts.own.incarnation);
        Publisher {
            members: Members::new(parts.own.clone()),
            parts,
            state: Arc::default(),
            history: History::default(),
            instance_table: InstanceTable::default(),
            loads: LoadTable::default(),
            loaded_models: LoadedModels::default(),
            models_differ: false,
            peer_offsets: HashMap::new(),
            log_seen: None,
            urgent_exchanges: 0,
            exchange_soon: false,
            record_targets: Vec::new(),
            mark_targets: Vec::new(),
            busy_peers: HashSet::new(),
            pending_from: 0,
            pull: None,
            state_parts: None,
            marks_differ: false,
            resent_mark: String::new(),
            pending_crashes: Vec::new(),
            crash_cursor: 0,
            crash_resends: 0,
            wake_gossip,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent_tokens: HashMap::new(),
            ready: false,
            flush_pending: false,
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    pub(super) fn record(&self, code: Code, subject: &str, detail: &str) {
        self.parts.events.record(code, Fields { subject, detail });
    }

    /// Requests urgent exchanges: something changed that peers should know at once.
    pub(super) fn request_urgent_exchanges(&mut self) {
        self.urgent_exchanges = URGENT_EXCHANGES;
        self.wake_gossip.notify_one();
    }

    /// Requests a regular exchange as soon as the budget allows.
    pub(super) fn request_exchange(&mut self) {
        self.exchange_soon = true;
        self.wake_gossip.notify_one();
    }

    /// Builds the view and publishes it.
    pub(super) fn publish(&mut self) {
        if !self.ready && !self.state.objects.is_empty() {
            self.ready = true;
            let detail = format!("offset {}", self.state.next);
            self.record(Code::Ready, &self.parts.own.name, &detail);
        }
        let now = self.now();
        let marks = Arc::clone(&self.parts.marks);
        let marked = |name: &str, incarnation| marks.is_leaving(name, incarnation, now);
        let pools = pools(
            &self.instance_table,
            &self.loads,
            &self.loaded_models,
            marked,
            &mut self.sent_tokens,
        );
        let routers = routers(&self.instance_table, &self.members);
        let state = Arc::clone(&self.state);
        self.parts.cell.store(View { ready: self.ready, state, pools, routers });
    }

    /// Publishes after [`PUBLISH_DELAY`], together with all other changes until then.
    pub(super) fn publish_soon(&mut self, ctx: &mut Context<Self>) {
        if std::mem::replace(&mut self.flush_pending, true) {
            return;
        }
        let own = ctx.mailbox().address();
        tokio::spawn(async move {
            tokio::time::sleep(PUBLISH_DELAY).await;
            let _ = own.send(Flush).await;
        });
    }

    /// Folds a record; false when `offset` is not the next one.
    pub(super) fn fold(&mut self, offset: u64, text: &str, record: Result<Ticket, String>) -> bool {
        let chain = self.state.chain;
        if offset != self.state.next || !Arc::make_mut(&mut self.state).fold(offset, record) {
            return false;
        }
        self.history.push(offset, chain, text.to_owned());
        self.record_outcome(offset);
        true
    }

    /// Replaces the state by a complete one; false when that is not newer.
    pub(super) fn adopt(&mut self, state: InForce, code: Code, detail: &str) -> bool {
        if state.next <= self.state.next {
            return false;
        }
        let detail = format!("offset {}{detail}", state.next);
        self.state = Arc::new(state);
        self.history = History::default();
        self.record(code, &self.parts.own.name, &detail);
        true
    }

    fn record_outcome(&self, offset: u64) {
        let Some(it) = self.state.outcomes.get(&offset) else {
            return;
        };
        let subject = it.number.to_string();
        match &it.rejection {
            None => self.record(Code::TicketAccepted, &subject, &format!("offset {offset}")),
            Some(why) => {
                self.record(Code::TicketRejected, &subject, &format!("offset {offset}: {why}"));
            }
        }
    }

    /// Records the change of the list entry `name`, and marks a leaving server.
    pub(super) fn record_entry_change(&mut self, name: &str, before: Option<InstanceState>) {
        let now = self.instance_table.get(name);
        match (before, now.map(|it| it.standing)) {
            (None, Some(_)) => self.record(Code::InstanceJoined, name, ""),
            (Some(_), None) => self.record(Code::InstanceGone, name, ""),
            (Some(InstanceState::Live), Some(InstanceState::Leaving)) => {
                self.record(Code::InstanceLeaving, name, "");
            }
            _ => {}
        }
        let leaving = now.is_some_and(|it| it.standing == InstanceState::Leaving);
        if leaving && now.is_some_and(|it| it.role != Role::Entry) {
            self.mark_leaving(name);
        }
    }

    fn mark_leaving(&mut self, name: &str) {
        let report = self.loads.get(hash_bytes(name.as_bytes()));
        let mark = LeavingMark {
            name: name.to_owned(),
            incarnation: report.map_or(0, |it| it.incarnation),
            remaining: self.parts.settings.mark_hold,
        };
        if self.parts.marks.merge(&mark, self.now()) {
            self.record(Code::MarkedLeaving, name, "leaving in the instance list");
            self.spread_marks(true);
        }
    }

    /// Control addresses of all other routers by name: the live ones and the dead ones.
    pub(super) fn contacts(&self) -> (BTreeMap<String, SocketAddr>, BTreeMap<String, SocketAddr>) {
        let mut live: BTreeMap<_, _> =
            self.members.others().map(|it| (it.name.clone(), it.control)).collect();
        let mut dead = BTreeMap::new();
        let listed = self.instance_table.instances().filter(|it| it.role == Role::Entry);
        for (name, control) in listed.filter_map(|it| Some((&it.name, it.control?))) {
            let gone = self.members.get(name).is_some_and(|it| it.status == MemberStatus::Dead);
            if *name == self.parts.own.name || live.contains_key(name) {
                continue;
            }
            if gone { &mut dead } else { &mut live }.insert(name.clone(), control);
        }
        if live.is_empty() {
            let seeds = self.parts.seeds.iter().map(|it| (it.name.clone(), it.control));
            live.extend(seeds.filter(|it| it.0 != self.parts.own.name));
        }
        (live, dead)
    }

    /// Rank of this router for `key` among all live routers by rendezvous hashing, from 0.
    pub(super) fn own_rank(&self, key: u64) -> usize {
        let score = |name: &str| combine(key, hash_bytes(name.as_bytes()));
        let own = score(&self.parts.own.name);
        let view = self.parts.cell.peek();
        let others = view.routers.iter().filter(|it| !it.leaving && it.name != self.parts.own.name);
        others.filter(|it| combine(key, it.id) > own).count()
    }
}
