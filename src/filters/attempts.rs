//! The attempts of one request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::admission::Permit;
use crate::decide::{Outliers, Placement, ServerResult, Verdict};
use crate::events::{Code, Fields};
use crate::filters::choose::choose;
use crate::filters::excluded_servers::ExcludedServers;
use crate::filters::failure::Failure;
use crate::filters::forward::{Chosen, Plan};
use crate::filters::in_flight::InFlight;
use crate::filters::upstream::PoolRecord;
use crate::filters::{Call, Reason, Refusal, Shared};
use crate::fleet::Pool;

/// When a caller should retry after a failure.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// When a caller should retry while no engine holds the model or adapter.
const LOAD_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Attempts of one request so far.
pub(crate) struct Attempts {
    record: Arc<PoolRecord>,
    /// Admission permit, held until the request ends.
    permit: Option<Arc<Permit>>,
    /// Maximum load of the servers that are not ejected, as a multiple of the mean.
    bound: f64,
    /// Ids of the backend servers attempted.
    attempted: SmallVec<[u64; 4]>,
    /// Refusal of the last failure, with the verdict of all attempts together.
    last_refusal: Option<Refusal>,
}

/// One attempt in progress; it has no result when dropped before its end.
pub(crate) struct Attempt {
    record: Arc<PoolRecord>,
    server: u64,
    /// Maximum number of ejected servers.
    max_ejected: usize,
    started: Instant,
    is_open: bool,
}

impl Attempt {
    /// Time since the attempt began.
    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Records the result; true when it ejected the server.
    pub(crate) fn end(mut self, result: ServerResult, now: Instant) -> bool {
        self.is_open = false;
        self.record.outliers().end(self.server, result, now, self.max_ejected)
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        if self.is_open {
            let mut outliers = self.record.outliers();
            outliers.end(self.server, ServerResult::Unknown, self.started, self.max_ejected);
        }
    }
}

impl Attempts {
    /// No attempts yet; the request earns its share of the retry budget.
    pub(crate) fn new(
        record: Arc<PoolRecord>,
        permit: Option<Arc<Permit>>,
        bound: f64,
    ) -> Attempts {
        record.budget().earn();
        Attempts { record, permit, bound, attempted: SmallVec::new(), last_refusal: None }
    }

    /// A refusal before an attempt; earlier attempts may have run.
    pub(crate) fn refuse(&self, refusal: Refusal) -> Refusal {
        let verdict = self
            .last_refusal
            .as_ref()
            .map_or(refusal.verdict, |it| refusal.verdict.and(it.verdict));
        Refusal { verdict, ..refusal }
    }

    /// Chooses the next backend server from the current view and begins an attempt.
    pub(crate) fn next(
        &mut self,
        shared: &Shared,
        call: &Call,
        pool_name: &str,
        plan: &Plan,
    ) -> Result<(Chosen, Attempt), Refusal> {
        let view = shared.view.load();
        let refusal = |message: &str| self.last_refusal.clone().unwrap_or_else(|| no_room(message));
        let Some(pool) = view.pools.get(pool_name) else {
            return Err(refusal("the pool has no backend servers"));
        };
        if ExcludedServers::new(call, pool).covers(pool) {
            return Err(self.last_refusal.clone().unwrap_or_else(not_loaded));
        }
        let now = shared.clock.now();
        let max_ejected = Outliers::max_ejected(pool.servers.len(), self.bound);
        let listed = |id| pool.engines.iter().any(|it| it.id == id);
        self.record.outliers().retain(pool.servers.len(), listed);
        let Some(placement) = self.choose(shared, call, pool, plan, now, max_ejected) else {
            return Err(refusal("no backend server of the pool takes new requests"));
        };
        let chosen = self.assign(shared, call, pool, plan, placement);
        let server = chosen.engine.id;
        self.attempted.push(server);
        if self.record.outliers().begin(server, now) {
            let fields = Fields { subject: &call.id, detail: &chosen.server.name };
            shared.events.record(Code::ServerProbed, fields);
        }
        let record = Arc::clone(&self.record);
        Ok((chosen, Attempt { record, server, max_ejected, started: now, is_open: true }))
    }

    /// Chooses a server that was not attempted. A stalled one is ejected and another
    /// is chosen.
    fn choose(
        &self,
        shared: &Shared,
        call: &Call,
        pool: &Pool,
        plan: &Plan,
        now: Instant,
        max_ejected: usize,
    ) -> Option<Placement> {
        let choose = || self.choose_loaded(shared, call, pool, plan, now);
        let placement = choose()?;
        let server = pool.engines[placement.index].id;
        if !self.record.outliers().check_stall(server, now, max_ejected) {
            return Some(placement);
        }
        let fields =
            Fields { subject: &pool.servers[placement.index].name, detail: "its requests stall" };
        shared.events.record(Code::ServerSetAside, fields);
        choose()
    }

    /// Chooses among the servers that hold the model or adapter, or else among those
    /// whose content is unknown.
    fn choose_loaded(
        &self,
        shared: &Shared,
        call: &Call,
        pool: &Pool,
        plan: &Plan,
        now: Instant,
    ) -> Option<Placement> {
        let excluded = ExcludedServers::new(call, pool);
        let mut all = excluded.not_loaded.clone();
        if excluded.unknown.is_empty() {
            return self.choose_healthy(shared, call, pool, plan, now, &all);
        }
        all.extend(excluded.unknown.iter().copied());
        let loaded = self.choose_healthy(shared, call, pool, plan, now, &all);
        loaded.or_else(|| self.choose_healthy(shared, call, pool, plan, now, &excluded.not_loaded))
    }

    /// Chooses among the servers that are neither ejected nor known to have crashed,
    /// or else among all; `excluded` and attempted servers are never chosen.
    fn choose_healthy(
        &self,
        shared: &Shared,
        call: &Call,
        pool: &Pool,
        plan: &Plan,
        now: Instant,
        excluded: &[usize],
    ) -> Option<Placement> {
        let mut avoided: SmallVec<[u64; 4]> =
            self.record.outliers().ejected(now, plan.idempotent).collect();
        avoided.extend(shared.crashes.crashed_among(&pool.engines));
        let mut unusable = indexes(pool, &self.attempted);
        unusable.extend_from_slice(excluded);
        if avoided.is_empty() || plan.is_isolated {
            return choose(shared, call, pool, plan, &unusable);
        }
        let mut both = indexes(pool, &avoided);
        both.extend(unusable.iter().copied());
        choose(shared, call, pool, plan, &both)
            .or_else(|| choose(shared, call, pool, plan, &unusable))
    }

    /// Counts the request towards the chosen backend server.
    fn assign(
        &self,
        shared: &Shared,
        call: &Call,
        pool: &Pool,
        plan: &Plan,
        placement: Placement,
    ) -> Chosen {
        let engine = &pool.engines[placement.index];
        let server = &pool.servers[placement.index];
        let requests = &shared.counters.in_flight;
        let work = InFlight::new(&engine.sent, plan.cost, requests, self.permit.as_ref());
        shared.events.record(Code::Placed, Fields { subject: &call.id, detail: &server.name });
        Chosen { server: server.clone(), engine: engine.clone(), work, running_suspect: None }
    }

    /// Records a failure; the verdict of the result covers all attempts together.
    pub(crate) fn record_failure(&mut self, failure: &Failure) -> Refusal {
        let mut refusal = failure.refusal();
        if let Some(last) = &self.last_refusal {
            refusal.verdict = refusal.verdict.and(last.verdict);
        }
        let refusal = match refusal.reason {
            Reason::DeadlinePassed => refusal,
            _ => refusal.retry_after(RETRY_AFTER),
        };
        self.last_refusal = Some(refusal.clone());
        refusal
    }

    /// Whether the request may be sent again after `failure`.
    pub(crate) fn may_retry(
        &self,
        shared: &Shared,
        call: &Call,
        plan: &Plan,
        failure: &Failure,
    ) -> bool {
        let now = shared.clock.now();
        let is_safe = failure.point.verdict() == Verdict::NotRun || plan.idempotent;
        let is_useful = is_safe && failure.point.retry_may_succeed();
        if !is_useful
            || now >= call.deadline
            || self.attempted.len() >= shared.settings.traffic.tries
        {
            return false;
        }
        if !failure.point.reached_server() || self.record.budget().spend(now) {
            return true;
        }
        let fields = Fields { subject: &call.id, detail: &failure.message };
        shared.events.record(Code::RetryWithheld, fields);
        false
    }
}

/// Indexes of the servers of `pool` with any of `ids`.
fn indexes(pool: &Pool, ids: &[u64]) -> SmallVec<[usize; 8]> {
    if ids.is_empty() {
        return SmallVec::new();
    }
    let all = pool.engines.iter().enumerate();
    all.filter(|(_, it)| ids.contains(&it.id)).map(|(i, _)| i).collect()
}

/// A refusal because no backend server takes the request.
pub(crate) fn no_room(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::NoRoom, message).retry_after(RETRY_AFTER)
}

/// A refusal because no engine holds the model or adapter.
pub(crate) fn not_loaded() -> Refusal {
    let message = "no engine currently holds the model or adapter";
    Refusal::not_run(Reason::NotLoaded, message).retry_after(LOAD_RETRY_AFTER)
}
