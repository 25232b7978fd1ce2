//! The tries of one request.

use std::sync::Arc;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::admission::Pass;
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

/// When a caller should try again after a failure.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// When a caller should try again while nothing holds what it asks for.
const LOAD_RETRY_AFTER: Duration = Duration::from_secs(2);

/// Attempts of one request so far.
pub(crate) struct Attempts {
    record: Arc<PoolRecord>,
    /// Held until the work ends.
    pass: Option<Arc<Pass>>,
    /// Multiple of the mean load that the servers in use must stay within.
    bound: f64,
    /// Ids of the backend servers tried.
    attempted: SmallVec<[u64; 4]>,
    /// The last failure, with the verdict over all tries.
    last_refusal: Option<Refusal>,
}

/// One try on its way; without a result when dropped.
pub(crate) struct Attempt {
    record: Arc<PoolRecord>,
    server: u64,
    /// Servers that may be set aside at most.
    max_ejected: usize,
    started: Instant,
    is_open: bool,
}

impl Attempt {
    /// Time since it began.
    pub(crate) fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// Notes how it went; true when the server was set aside by it.
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
    /// None yet, for a request that earns its part of the retry budget.
    pub(crate) fn new(record: Arc<PoolRecord>, pass: Option<Arc<Pass>>, bound: f64) -> Attempts {
        record.budget().earn();
        Attempts { record, pass, bound, attempted: SmallVec::new(), last_refusal: None }
    }

    /// A refusal before a try; earlier tries may have run.
    pub(crate) fn refuse(&self, refusal: Refusal) -> Refusal {
        let verdict = self
            .last_refusal
            .as_ref()
            .map_or(refusal.verdict, |it| refusal.verdict.and(it.verdict));
        Refusal { verdict, ..refusal }
    }

    /// Takes the next backend server from the newest view.
    pub(crate) fn next(
        &mut self,
        shared: &Shared,
        call: &Call,
        pool_name: &str,
        plan: &Plan,
    ) -> Result<(Chosen, Attempt), Refusal> {
        let view = shared.view.load();
        let none = |message: &str| self.last_refusal.clone().unwrap_or_else(|| no_room(message));
        let Some(pool) = view.pools.get(pool_name) else {
            return Err(none("the pool has no backend servers"));
        };
        if ExcludedServers::new(call, pool).covers(pool) {
            return Err(self.last_refusal.clone().unwrap_or_else(not_loaded));
        }
        let now = shared.clock.now();
        let max_ejected = Outliers::max_ejected(pool.servers.len(), self.bound);
        let listed = |id| pool.engines.iter().any(|it| it.id == id);
        self.record.outliers().retain(pool.servers.len(), listed);
        let Some(choice) = self.choose(shared, call, pool, plan, now, max_ejected) else {
            return Err(none("no backend server takes new work"));
        };
        let chosen = self.assign(shared, call, pool, plan, choice);
        let server = chosen.engine.id;
        self.attempted.push(server);
        if self.record.outliers().begin(server, now) {
            let fields = Fields { subject: &call.id, detail: &chosen.server.name };
            shared.events.record(Code::ServerProbed, fields);
        }
        let record = Arc::clone(&self.record);
        Ok((chosen, Attempt { record, server, max_ejected, started: now, is_open: true }))
    }

    /// Chooses a server that was not tried; one that turns excluded to stall is set
    /// aside and another is chosen.
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
        let choice = choose()?;
        let server = pool.engines[choice.index].id;
        if !self.record.outliers().check_stall(server, now, max_ejected) {
            return Some(choice);
        }
        let fields = Fields { subject: &pool.servers[choice.index].name, detail: "it stalls" };
        shared.events.record(Code::ServerSetAside, fields);
        choose()
    }

    /// Chooses among the servers that hold what is asked for, or else among
    /// those of which it is not known.
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

    /// Chooses among the servers in use that are not known to be dead, or else
    /// among all.
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
        let mut used = indexes(pool, &self.attempted);
        used.extend_from_slice(excluded);
        if avoided.is_empty() || plan.is_isolated {
            return choose(shared, call, pool, plan, &used);
        }
        let mut both = indexes(pool, &avoided);
        both.extend(used.iter().copied());
        choose(shared, call, pool, plan, &both).or_else(|| choose(shared, call, pool, plan, &used))
    }

    /// Counts the work towards the chosen backend server.
    fn assign(
        &self,
        shared: &Shared,
        call: &Call,
        pool: &Pool,
        plan: &Plan,
        choice: Placement,
    ) -> Chosen {
        let engine = &pool.engines[choice.index];
        let server = &pool.servers[choice.index];
        let requests = &shared.counters.in_flight;
        let work = InFlight::new(&engine.sent, plan.cost, requests, self.pass.as_ref());
        shared.events.record(Code::Placed, Fields { subject: &call.id, detail: &server.name });
        Chosen { server: server.clone(), engine: engine.clone(), work, trial: None }
    }

    /// Adds a failure; the verdict of the result holds for all tries together.
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

    /// Whether the request may be sent once more after `failure`.
    pub(crate) fn may_retry(
        &self,
        shared: &Shared,
        call: &Call,
        plan: &Plan,
        failure: &Failure,
    ) -> bool {
        let now = shared.clock.now();
        let safe = failure.point.verdict() == Verdict::NotRun || plan.idempotent;
        let useful = safe && failure.point.retry_may_succeed();
        if !useful || now >= call.deadline || self.attempted.len() >= shared.settings.traffic.tries
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

/// Indexes of the servers of `pool` with these ids.
fn indexes(pool: &Pool, ids: &[u64]) -> SmallVec<[usize; 8]> {
    if ids.is_empty() {
        return SmallVec::new();
    }
    let all = pool.engines.iter().enumerate();
    all.filter(|(_, it)| ids.contains(&it.id)).map(|(i, _)| i).collect()
}

/// A refusal because nothing takes the request.
pub(crate) fn no_room(message: impl Into<String>) -> Refusal {
    Refusal::not_run(Reason::NoRoom, message).retry_after(RETRY_AFTER)
}

/// A refusal because no engine holds what the request asks for.
pub(crate) fn not_loaded() -> Refusal {
    let message = "no engine holds the model or adapter at present";
    Refusal::not_run(Reason::NotLoaded, message).retry_after(LOAD_RETRY_AFTER)
}
