//! Lets a request wait until a backend server has room for it, or refuses it at once.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use tokio::time::timeout_at;

use crate::decide::{
    Lane, NoWait, ServiceLoad, Shortage, Standing, UsualDeadline, WaitQuery, combine, hash_bytes,
    may_wait,
};
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::wait_trace::WaitTrace;
use crate::relay::{Refusal, Relay};
use crate::servers::{RoomSignal, Server, WaitingPlace};

/// Room in requests a second that refused callers are told to expect while nothing shows it.
const UNKNOWN_RATE: f64 = 10.0;

/// A request that waits for room.
struct Wait {
    place: WaitingPlace,
    began: Instant,
    until: Instant,
}

impl Relay {
    /// Selects the server for the next attempt, once one has room for it. While requests wait
    /// for room, new ones go after them.
    ///
    /// # Errors
    /// Fails when no server may be used, or when none gets room while the request may wait.
    pub(crate) async fn select_with_room(
        &self,
        pending: &mut PendingRequest,
        grant: &Grant,
    ) -> Result<Arc<Server>, Refusal> {
        if !self.limits().wait_for_room {
            return self.select_at_once(pending, grant);
        }
        pending.lane = self.lane(pending, grant, self.clock.now());
        let mut wait = None;
        if let Some(service) = self.service_with_queue(pending, grant) {
            let begun = self.begin_wait(pending, grant)?;
            self.room.waiters.wake(service);
            self.wait_once(pending, grant, &begun).await?;
            wait = Some(begun);
        }
        loop {
            let changes = self.room.waiters.changes();
            let selected = self.select_server(pending, grant);
            if !matches!(selected, Err(Refusal::NoRoom)) {
                self.record_room(pending, grant, selected.is_ok());
                return selected;
            }
            pending.selections -= 1;
            let waiting = match wait.take() {
                Some(it) => it,
                None => self.begin_wait(pending, grant)?,
            };
            waiting.place.restore();
            // Room that came since the selection woke nobody.
            if self.room.waiters.changes() == changes {
                self.wait_once(pending, grant, &waiting).await?;
            }
            wait = Some(waiting);
        }
    }

    /// Selects the server for the next attempt where requests do not wait.
    fn select_at_once(
        &self,
        pending: &mut PendingRequest,
        grant: &Grant,
    ) -> Result<Arc<Server>, Refusal> {
        match self.select_server(pending, grant) {
            Err(Refusal::NoRoom) => Err(self.refuse_room(pending, grant, NoWait::Off)),
            selected => selected,
        }
    }

    /// Tells the waiting requests that `server` has room, once the request of `pending` ends.
    pub(crate) fn room_signal(&self, pending: &PendingRequest) -> RoomSignal {
        let service = hash_bytes(pending.trace.service.as_bytes());
        RoomSignal { waiters: Arc::clone(&self.room.waiters), service }
    }

    /// The share of the room of `service` that requests in `lane` may use.
    pub(crate) fn room_share(&self, service: &str, lane: Lane, now: Instant) -> f64 {
        if !self.limits().wait_for_room {
            return 1.0;
        }
        let make = || Shortage::new(now);
        self.room.shortages.with(service, make, |it| it.share(lane, now))
    }

    /// The service of a request, by its hash, if others wait for it that go first.
    fn service_with_queue(&self, pending: &mut PendingRequest, grant: &Grant) -> Option<u64> {
        if self.room.waiters.is_empty() {
            return None;
        }
        let name = pending.target_service(grant)?;
        let service = hash_bytes(name.as_bytes());
        if !self.room.waiters.goes_after(service, pending.lane) {
            return None;
        }
        pending.trace.service.clear();
        pending.trace.service.push_str(name);
        Some(service)
    }

    /// The place of a request among others of its service.
    fn lane(&self, pending: &PendingRequest, grant: &Grant, now: Instant) -> Lane {
        let standing = self.standing(pending, grant, now);
        let service = pending.target_service(grant).unwrap_or_default();
        let make = || Shortage::new(now);
        self.room.shortages.with(service, make, |it| it.lane(grant.rank(), standing, now))
    }

    /// What was done for a request before.
    fn standing(&self, pending: &PendingRequest, grant: &Grant, now: Instant) -> Standing {
        let is_resumed = pending.meta.last_event.is_some() || pending.resumes() > 0;
        if is_resumed || pending.sends > 0 {
            return Standing::Resumed;
        }
        let is_early = |caller| self.room.refused.lock().unwrap().is_early(caller, now);
        if caller_hash(pending, grant).is_some_and(is_early) {
            return Standing::Repeated;
        }
        let Some(stated) = pending.meta.deadline else {
            return Standing::New;
        };
        let usual =
            self.room
                .usual_deadlines
                .with(&grant.route.name, UsualDeadline::default, |it| it.record(stated, now));
        Standing::of_caller(stated, usual)
    }

    /// Begins the wait of a request that found no room.
    fn begin_wait(&self, pending: &mut PendingRequest, grant: &Grant) -> Result<Wait, Refusal> {
        let now = self.clock.now();
        let service = hash_bytes(pending.trace.service.as_bytes());
        let lane = pending.lane;
        let organisation = organisation_hash(grant);
        let make = || Shortage::new(now);
        let view = self.room.shortages.with(&pending.trace.service, make, |it| it.view(lane, now));
        let cold = self.cold_terms(&pending.trace.service);
        let servers = self.of_service(&pending.trace.service);
        let has_allowance = servers.iter().any(|it| it.has_allowance(&cold, now));
        // The end of a request brings no room where servers limit the rate of requests.
        let rate = self.room_rate(&pending.trace.service, now).filter(|_| has_allowance);
        let query = WaitQuery {
            standing: lane.standing,
            objective: grant.route.objective,
            elapsed: now.saturating_duration_since(pending.trace.received()),
            remaining: pending.deadline.saturating_duration_since(now),
            ahead: self.room.waiters.ahead(service, lane, organisation),
            rate: rate.map(|it| it * view.left),
        };
        pending.trace.wait = Some(WaitTrace {
            standing: query.standing,
            ahead: query.ahead,
            rate: query.rate,
            view,
            time: Duration::ZERO,
            refused: None,
        });
        if self.leaving.load(Ordering::Relaxed) {
            return Err(self.refuse_room(pending, grant, NoWait::Leaving));
        }
        let time = may_wait(&query).map_err(|it| self.refuse_room(pending, grant, it))?;
        let bytes = pending.body.len();
        let place = self.room.waiters.enter(service, lane, organisation, bytes);
        let place = place.ok_or_else(|| self.refuse_room(pending, grant, NoWait::Full))?;
        Ok(Wait { place, began: now, until: now + time })
    }

    /// Waits until there may be room.
    async fn wait_once(
        &self,
        pending: &mut PendingRequest,
        grant: &Grant,
        wait: &Wait,
    ) -> Result<(), Refusal> {
        let woken = timeout_at(wait.until.into(), wait.place.woken()).await;
        let now = self.clock.now();
        if let Some(trace) = &mut pending.trace.wait {
            trace.time = now.saturating_duration_since(wait.began);
        }
        if self.leaving.load(Ordering::Relaxed) {
            return Err(self.refuse_room(pending, grant, NoWait::Leaving));
        }
        woken.map_err(|_| self.refuse_room(pending, grant, NoWait::InVain))
    }

    /// Counts a request whose selection ended, with room or without any server.
    fn record_room(&self, pending: &PendingRequest, grant: &Grant, found: bool) {
        let now = self.clock.now();
        if found {
            let make = || Shortage::new(now);
            let record = |it: &mut Shortage| it.record(grant.rank(), false, now);
            self.room.shortages.with(&pending.trace.service, make, record);
        }
        if pending.trace.wait.is_some() {
            self.request_log.count_wait(if found { "room" } else { "no_server" });
        }
    }

    /// Counts a request that gets no room, and tells its caller when to come back.
    fn refuse_room(&self, pending: &mut PendingRequest, grant: &Grant, cause: NoWait) -> Refusal {
        let now = self.clock.now();
        self.request_log.count_wait(cause.as_str());
        if let Some(trace) = &mut pending.trace.wait {
            trace.refused = Some(cause);
        }
        if cause == NoWait::Leaving {
            pending.trace.retry_after = None;
            return Refusal::Leaving;
        }
        let rank = grant.rank();
        let rate = self.room_rate(&pending.trace.service, now).unwrap_or(UNKNOWN_RATE);
        let remaining = pending.deadline.saturating_duration_since(now);
        let make = || Shortage::new(now);
        let time = self.room.shortages.with(&pending.trace.service, make, |it| {
            if cause != NoWait::Off {
                it.record(rank, true, now);
            }
            it.return_time(rank, remaining, rate, rand::random(), now)
        });
        pending.trace.retry_after = Some(time);
        if let Some(caller) = caller_hash(pending, grant) {
            self.room.refused.lock().unwrap().record(caller, now + time, now);
        }
        Refusal::NoRoom
    }

    /// Requests a second that find room here, as far as is known: as many as end of those that
    /// this router has in flight, or of its share of all.
    fn room_rate(&self, service: &str, now: Instant) -> Option<f64> {
        let time =
            self.service_loads.with(service, ServiceLoad::default, |it| it.service_time())?;
        let servers = self.of_service(service);
        let own: u32 = servers.iter().map(|it| it.own()).sum();
        let all: u32 = servers.iter().map(|it| it.load(now)).sum();
        let routers = self.routers.load(Ordering::Relaxed).max(1);
        let in_flight = f64::from(own).max(f64::from(all) / routers as f64);
        (!time.is_zero()).then(|| in_flight / time.as_secs_f64())
    }
}

fn organisation_hash(grant: &Grant) -> u64 {
    grant.organisation.as_ref().map_or(0, |it| hash_bytes(it.name.as_bytes()))
}

/// Hash of what stays the same when a caller repeats a request; absent where different callers
/// send the same.
fn caller_hash(pending: &PendingRequest, grant: &Grant) -> Option<u64> {
    let parts = &pending.meta.parts;
    if parts.is_empty() && pending.body.is_empty() {
        return None;
    }
    let request = combine(hash_bytes(pending.head.uri.path().as_bytes()), organisation_hash(grant));
    let prompt = parts.iter().fold(request, |hash, it| combine(hash, it.id));
    Some(combine(prompt, hash_bytes(&pending.body)))
}
