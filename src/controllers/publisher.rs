//! The actor that owns the state and publishes the view.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Instant, UNIX_EPOCH};

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use tokio::sync::Notify;
use xtra::prelude::*;

use crate::clock::SharedClock;
use crate::controllers::messages::{
    Flush, Folded, Leave, Listed, Reported, Restored, TailPlan, TailQuery, Targets,
};
use crate::controllers::pull::Pull;
use crate::controllers::view_parts::{pools, routers};
use crate::decide::{SentTokens, combine, hash_bytes};
use crate::events::{Code, EventLog, Fields};
use crate::fleet::{
    Budget, CrashReport, CrashTable, InstanceTable, LeavingMark, LeavingMarks, LoadTable,
    LoadedModels, Members, View, ViewCell,
};
use crate::settings::{Control, Seed};
use crate::state::{History, InForce, Ticket};
use crate::wire::{MemberStatus, Role, Standing, WireMember};

/// Routers that follow the log.
pub(super) const TAILERS: usize = 3;
/// What the choice of these routers is hashed with.
pub(super) const TAIL_KEY: &[u8] = b"ticket log";
/// Time beyond a read of the log after which a router follows it by itself.
const SILENCE: std::time::Duration = std::time::Duration::from_secs(15);
/// Pause before changed loads are published together.
const COALESCE: std::time::Duration = std::time::Duration::from_millis(20);
/// Urgent exchanges that follow on other news.
const FAN_OUT: u32 = 3;

/// What the publisher is made of.
#[derive(Debug)]
pub struct Parts {
    /// This router as peers see it.
    pub own: WireMember,
    /// Where the view goes.
    pub cell: Arc<ViewCell>,
    /// Recent events.
    pub events: Arc<EventLog>,
    /// The clock.
    pub clock: SharedClock,
    /// Leaving backend servers.
    pub marks: Arc<LeavingMarks>,
    /// Requests that crashed backend servers.
    pub crashes: Arc<CrashTable>,
    /// Budget of control calls.
    pub budget: Arc<Budget>,
    /// Settings.
    pub upkeep: Control,
    /// Other routers known beforehand.
    pub seeds: Vec<Seed>,
}

/// Owner of everything that the view is made of.
#[derive(Debug, xtra::Actor)]
pub struct Publisher {
    pub(super) parts: Parts,
    pub(super) state: Arc<InForce>,
    pub(super) history: History,
    pub(super) members: Members,
    pub(super) roster: InstanceTable,
    pub(super) loads: LoadTable,
    pub(super) holds: LoadedModels,
    /// Whether the last peer told of other holds: some rows may have been lost.
    pub(super) holds_differ: bool,
    /// First offset that each peer has not folded, as it last told.
    pub(super) peers: HashMap<String, u64>,
    /// When anybody last heard from the log, as far as known here.
    pub(super) log_seen: Option<Instant>,
    /// Urgent exchanges with any peer still to make.
    pub(super) pushes: u32,
    /// Whether a regular exchange is to be made as soon as there is budget.
    pub(super) eager: bool,
    /// Peers to which new records are still to be passed on.
    pub(super) branches: Vec<String>,
    /// Peers that had spent their budget and are left alone for now.
    pub(super) busy: HashSet<String>,
    /// Peers to which fresh leaving marks are still to be passed on.
    pub(super) mark_branches: Vec<String>,
    /// Offset of the first of the records folded last.
    pub(super) fresh_from: u64,
    pub(super) pull: Option<Pull>,
    /// Whole state cut into parts, with its offset and when it was last asked for.
    pub(super) bulk: Option<(u64, Vec<String>, Instant)>,
    /// Whether the last peer heard from held other leaving marks.
    pub(super) marks_differ: bool,
    /// Name of the leaving mark that was repeated last.
    pub(super) repeated: String,
    /// Crashes to pass on, and how often still.
    pub(super) crashes: Vec<(CrashReport, u32)>,
    pub(super) crash_cursor: usize,
    /// Counts the reports told again.
    pub(super) crash_turn: usize,
    /// Wakes the task that makes exchanges.
    pub(super) news: Arc<Notify>,
    pub(super) rng: ChaCha8Rng,
    sent: HashMap<String, Arc<SentTokens>>,
    ready: bool,
    flushing: bool,
}

impl Publisher {
    /// A publisher without any state.
    pub fn new(parts: Parts, news: Arc<Notify>) -> Publisher {
        let seed = combine(hash_bytes(parts.own.name.as_bytes()), parts.own.incarnation);
        Publisher {
            members: Members::new(parts.own.clone()),
            parts,
            state: Arc::default(),
            history: History::default(),
            roster: InstanceTable::default(),
            loads: LoadTable::default(),
            holds: LoadedModels::default(),
            holds_differ: false,
            peers: HashMap::new(),
            log_seen: None,
            pushes: 0,
            eager: false,
            branches: Vec::new(),
            mark_branches: Vec::new(),
            busy: HashSet::new(),
            fresh_from: 0,
            pull: None,
            bulk: None,
            marks_differ: false,
            repeated: String::new(),
            crashes: Vec::new(),
            crash_cursor: 0,
            crash_turn: 0,
            news,
            rng: ChaCha8Rng::seed_from_u64(seed),
            sent: HashMap::new(),
            ready: false,
            flushing: false,
        }
    }

    pub(super) fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    pub(super) fn record(&self, code: Code, subject: &str, detail: &str) {
        self.parts.events.record(code, Fields { subject, detail });
    }

    /// Something changed that peers should know at once.
    pub(super) fn spread(&mut self) {
        self.pushes = FAN_OUT;
        self.news.notify_one();
    }

    /// Something changed that peers should know soon.
    pub(super) fn hurry(&mut self) {
        self.eager = true;
        self.news.notify_one();
    }

    /// Publishes the view as it is now.
    pub(super) fn publish(&mut self) {
        if !self.ready && !self.state.objects.is_empty() {
            self.ready = true;
            let detail = format!("offset {}", self.state.next);
            self.record(Code::Ready, &self.parts.own.name, &detail);
        }
        let now = self.now();
        let marks = Arc::clone(&self.parts.marks);
        let marked = |name: &str, incarnation| marks.is_leaving(name, incarnation, now);
        let pools = pools(&self.roster, &self.loads, &self.holds, marked, &mut self.sent);
        let routers = routers(&self.roster, &self.members);
        let state = Arc::clone(&self.state);
        self.parts.cell.store(View { ready: self.ready, state, pools, routers });
    }

    /// Folds the next record; true when it was the next.
    pub(super) fn fold(&mut self, offset: u64, text: &str, record: Result<Ticket, String>) -> bool {
        let chain = self.state.chain;
        if offset != self.state.next || !Arc::make_mut(&mut self.state).fold(offset, record) {
            return false;
        }
        self.history.push(offset, chain, text.to_owned());
        self.note(offset);
        true
    }

    /// Takes a whole state that is further than this one; true when it was.
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

    fn note(&self, offset: u64) {
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

    /// Records what became of the line called `name`, and marks a leaving server.
    pub(super) fn note_line(&mut self, name: &str, before: Option<Standing>) {
        let now = self.roster.get(name);
        match (before, now.map(|it| it.standing)) {
            (None, Some(_)) => self.record(Code::InstanceJoined, name, ""),
            (Some(_), None) => self.record(Code::InstanceGone, name, ""),
            (Some(Standing::Live), Some(Standing::Leaving)) => {
                self.record(Code::InstanceLeaving, name, "");
            }
            _ => {}
        }
        let leaving = now.is_some_and(|it| it.standing == Standing::Leaving);
        if leaving && now.is_some_and(|it| it.role != Role::Entry) {
            self.mark(name);
        }
    }

    fn mark(&mut self, name: &str) {
        let report = self.loads.get(hash_bytes(name.as_bytes()));
        let mark = LeavingMark {
            name: name.to_owned(),
            incarnation: report.map_or(0, |it| it.incarnation),
            remaining: self.parts.upkeep.mark_hold,
        };
        if self.parts.marks.merge(&mark, self.now()) {
            self.record(Code::MarkedLeaving, name, "the instance list");
            self.spread_marks(true);
        }
    }

    /// Control addresses of all other routers by name, the dead ones apart.
    pub(super) fn contacts(&self) -> (BTreeMap<String, SocketAddr>, BTreeMap<String, SocketAddr>) {
        let mut live: BTreeMap<_, _> =
            self.members.others().map(|it| (it.name.clone(), it.control)).collect();
        let mut dead = BTreeMap::new();
        let listed = self.roster.instances().filter(|it| it.role == Role::Entry);
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

    /// Rank of this router for `key` among all live routers, from 0.
    pub(super) fn own_rank(&self, key: u64) -> usize {
        let score = |name: &str| combine(key, hash_bytes(name.as_bytes()));
        let own = score(&self.parts.own.name);
        let view = self.parts.cell.peek();
        let others = view.routers.iter().filter(|it| !it.leaving && it.name != self.parts.own.name);
        others.filter(|it| combine(key, it.id) > own).count()
    }
}

impl Handler<Folded> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: Folded, _: &mut Context<Self>) {
        self.log_seen = Some(self.now());
        let from = self.state.next;
        for it in message.records {
            self.fold(it.offset, &it.text, it.ticket);
        }
        if self.state.next > from {
            self.publish();
            self.spread_records(from);
        }
    }
}

impl Handler<Restored> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: Restored, _: &mut Context<Self>) {
        if self.adopt(message.state, Code::StateFromSnapshot, "") {
            self.publish();
        }
    }
}

impl Handler<Listed> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: Listed, _: &mut Context<Self>) {
        let before: HashMap<String, Standing> =
            self.roster.instances().map(|it| (it.name.clone(), it.standing)).collect();
        let changed = self.roster.update(message.instances);
        for name in &changed {
            self.note_line(name, before.get(name).copied());
        }
        if changed.is_empty() {
            return;
        }
        let known: Vec<u64> =
            self.roster.instances().map(|it| hash_bytes(it.name.as_bytes())).collect();
        self.loads.retain(|id| known.contains(&id));
        self.holds.retain(|id| known.contains(&id));
        let roster = &self.roster;
        self.sent.retain(|name, _| roster.get(name).is_some());
        self.publish();
        self.hurry();
    }
}

impl Handler<Reported> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: Reported, ctx: &mut Context<Self>) {
        let wall = self.parts.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let id = hash_bytes(message.name.as_bytes());
        let at_ms = wall.as_millis() as u64;
        if self.holds.record_report(id, &message.report, at_ms) {
            self.hurry();
        }
        self.loads.record_report(id, message.report, at_ms);
        self.publish_soon(ctx);
    }
}

impl Publisher {
    /// Publishes within [`COALESCE`], together with what else changes by then.
    pub(super) fn publish_soon(&mut self, ctx: &mut Context<Self>) {
        if std::mem::replace(&mut self.flushing, true) {
            return;
        }
        let own = ctx.mailbox().address();
        tokio::spawn(async move {
            tokio::time::sleep(COALESCE).await;
            let _ = own.send(Flush).await;
        });
    }
}

impl Handler<Flush> for Publisher {
    type Return = ();

    async fn handle(&mut self, _: Flush, _: &mut Context<Self>) {
        self.flushing = false;
        self.publish();
    }
}

impl Handler<Leave> for Publisher {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.members.leave();
        self.publish();
        self.spread();
    }
}

impl Handler<TailQuery> for Publisher {
    type Return = TailPlan;

    async fn handle(&mut self, _: TailQuery, _: &mut Context<Self>) -> TailPlan {
        let rank = self.own_rank(hash_bytes(TAIL_KEY));
        let silence = self.parts.upkeep.log_wait + SILENCE;
        let now = self.now();
        let quiet = self.log_seen.is_none_or(|it| now.saturating_duration_since(it) > silence);
        TailPlan { follow: rank < TAILERS || quiet, rank, state: Arc::clone(&self.state) }
    }
}

impl Handler<Targets> for Publisher {
    type Return = Vec<(String, SocketAddr)>;

    async fn handle(&mut self, _: Targets, _: &mut Context<Self>) -> Self::Return {
        let engines = self.roster.instances().filter(|it| it.role == Role::Engine);
        let own = engines.filter(|it| self.own_rank(hash_bytes(it.name.as_bytes())) == 0);
        own.map(|it| (it.name.clone(), it.address)).collect()
    }
}
