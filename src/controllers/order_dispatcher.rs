//! Gives engines their orders, one claim in the log for each.

use std::sync::Arc;
use std::time::{Duration, Instant};

use prometheus::IntCounter;
use rand::Rng;
use tokio::time::sleep;
use xtra::Address;

use crate::backend::{EngineClient, LogClient, PlatformError};
use crate::clock::SharedClock;
use crate::controllers::Publisher;
use crate::controllers::order_plan::{OrderPlan, OrderQuery, PlannedOrder};
use crate::controllers::order_tail::{ORDER_STREAM, OrderTail};
use crate::decide::orders::{Claim, ClaimKind, ClaimState, HolderState, holder_state};
use crate::events::{Code, EventLog, Fields};
use crate::settings::Orders;
use crate::wire::{OrderRecord, OrderRequest, WireOrder};

/// Waiting loads for each slot; more are not claimed yet.
const QUEUED: usize = 2;
/// Status of an order with an old fencing number.
const CONFLICT: u16 = 409;
/// Pause before an order that was taken is given again.
const AGAIN: Duration = Duration::from_secs(5);

/// What orders are given with.
#[derive(Debug)]
pub struct OrderParts {
    /// Name of this router.
    pub router: String,
    /// The log.
    pub log: LogClient,
    /// The engines.
    pub engines: EngineClient,
    /// The publisher, which knows what is to be done.
    pub publisher: Address<Publisher>,
    /// Recent events.
    pub events: Arc<EventLog>,
    /// The clock.
    pub clock: SharedClock,
    /// Settings.
    pub settings: Orders,
    /// Counts the orders sent.
    pub sent: IntCounter,
    /// Counts those refused for an old fencing number.
    pub refused: IntCounter,
}

/// A claim of this router.
#[derive(Debug)]
struct Own {
    claim: Claim,
    engine: String,
    what: String,
    /// When it was made, before its append.
    made: Instant,
    /// When the order was last taken, and by which incarnation.
    taken: Option<(Instant, u64)>,
    /// Whether the order may have reached the engine.
    sent: bool,
    /// Whether nothing is left to do but to say so in the log.
    over: bool,
}

/// Giver of orders.
#[derive(Debug)]
pub struct OrderDispatcher {
    parts: OrderParts,
    tail: OrderTail,
    own: Vec<Own>,
    reachable: bool,
}

impl OrderDispatcher {
    /// A giver of orders that has read nothing.
    pub fn new(parts: OrderParts) -> OrderDispatcher {
        let tail = OrderTail::new(&parts);
        OrderDispatcher { parts, tail, own: Vec::new(), reachable: true }
    }

    /// Gives orders until the publisher is gone.
    pub async fn run(mut self) {
        while let Ok(plan) = self.parts.publisher.send(OrderQuery).await {
            self.poll(&plan).await;
            let pause = self.parts.settings.every.mul_f64(rand::rng().random_range(0.8..1.2));
            sleep(pause).await;
        }
    }

    /// Goes on with what is claimed and claims what is next.
    pub async fn poll(&mut self, plan: &OrderPlan) {
        if plan.orders.is_empty() && self.own.is_empty() {
            return;
        }
        let current = self.read().await;
        for i in 0..self.own.len() {
            self.advance(i, plan).await;
        }
        self.close().await;
        if current && !self.tail.is_blind() {
            self.claim_next(plan).await;
        }
    }

    fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    fn hold(&self) -> Duration {
        self.parts.settings.hold
    }

    /// How long after a claim was made its order may be sent: half the time for
    /// which others leave the engine alone.
    fn lease(&self) -> Duration {
        self.hold() / 2
    }

    fn record(&self, code: Code, subject: &str, detail: &str) {
        self.parts.events.record(code, Fields { subject, detail });
    }

    /// Reads the stream to its end; false when the log does not answer.
    async fn read(&mut self) -> bool {
        match self.tail.read().await {
            Ok(()) => {
                if !std::mem::replace(&mut self.reachable, true) {
                    self.record(Code::OrdersResumed, &self.parts.router, "");
                }
                true
            }
            Err(e) => {
                self.unreachable(&e);
                false
            }
        }
    }

    fn unreachable(&mut self, error: &PlatformError) {
        if std::mem::replace(&mut self.reachable, false) {
            self.record(Code::OrdersHeld, &self.parts.router, &error.to_string());
        }
    }

    /// Goes on with the claim at `i`.
    async fn advance(&mut self, i: usize, plan: &OrderPlan) {
        let now = self.now();
        let own = &self.own[i];
        if own.over {
            return;
        }
        let unload = own.claim.kind == ClaimKind::Unload;
        let same = |it: &&PlannedOrder| {
            (it.id, it.key, it.unload) == (own.claim.engine, own.claim.key, unload)
        };
        let held = plan.loaded.iter().find(|it| it.0 == own.claim.engine);
        let done = held.is_some_and(|it| it.1.contains(&own.claim.key) != unload);
        if done {
            self.record(Code::OrderDone, &own.engine, &own.what);
            self.own[i].over = true;
            return;
        }
        let planned = plan.orders.iter().find(same);
        let late = now.saturating_duration_since(own.made) >= self.lease();
        if !own.sent && (late || planned.is_none()) {
            if late {
                self.record(Code::ClaimLapsed, &own.engine, &own.what);
            }
            self.own[i].over = true;
            return;
        }
        let Some(planned) = planned.filter(|_| !late) else {
            return;
        };
        let fresh = own.taken.is_some_and(|(at, incarnation)| {
            incarnation == planned.incarnation && now.saturating_duration_since(at) < AGAIN
        });
        let slots = self.parts.settings.loads;
        if !fresh && self.tail.book.state(own.claim.id, slots) == ClaimState::Ready {
            self.give(i, planned).await;
        }
    }

    /// Gives the order of the claim at `i`.
    async fn give(&mut self, i: usize, planned: &PlannedOrder) {
        let Some(offset) = self.tail.book.offset(self.own[i].claim.id) else {
            return;
        };
        let fencing = offset + 1;
        if planned.unload && !self.is_kept(planned, fencing).await {
            return;
        }
        let order = match planned.unload {
            true => WireOrder::Unload(planned.item.clone()),
            false => WireOrder::Load(planned.item.clone()),
        };
        if !self.may_send(i, planned).await {
            return;
        }
        let own = &mut self.own[i];
        own.sent = true;
        let detail = format!("{order:?} with {fencing}");
        let result = self.parts.engines.order(planned.addr, &OrderRequest { fencing, order }).await;
        self.parts.sent.inc();
        self.record(Code::OrderSent, &planned.engine, &detail);
        self.note(i, planned, result);
    }

    /// Looks again right before an order is sent: the engine may have begun to
    /// leave, another router may have become the one to order it, and the time
    /// of the claim may be over.
    async fn may_send(&mut self, i: usize, planned: &PlannedOrder) -> bool {
        let Ok(plan) = self.parts.publisher.send(OrderQuery).await else {
            return false;
        };
        let valid = plan.orders.contains(planned);
        valid && self.now().saturating_duration_since(self.own[i].made) < self.lease()
    }

    fn note(&mut self, i: usize, planned: &PlannedOrder, result: Result<(), PlatformError>) {
        let now = self.now();
        match result {
            Ok(()) => self.own[i].taken = Some((now, planned.incarnation)),
            Err(PlatformError::Status { status: CONFLICT, body }) => {
                self.parts.refused.inc();
                self.record(Code::OrderRefused, &planned.engine, &body);
                self.own[i].over = true;
            }
            Err(e) => self.record(Code::OrderFailed, &planned.engine, &e.to_string()),
        }
    }

    /// Whether all required_holders hold what another engine is to unload, after the time
    /// from which on they refuse every order older than `fencing`.
    ///
    /// Each is ordered to load what it holds, which changes nothing but the
    /// highest number that it has seen, and is then read back.
    async fn is_kept(&self, planned: &PlannedOrder, fencing: u64) -> bool {
        let name = planned.item.full_name();
        for (engine, addr) in &planned.required_holders {
            self.parts.engines.wait_for_budget().await;
            let Ok(report) = self.parts.engines.load(*addr).await else {
                return false;
            };
            let holds = report.loaded.iter().any(|it| it.full_name() == name);
            match holder_state(holds, report.fencing, fencing) {
                HolderState::Holds => continue,
                HolderState::Lacks => return false,
                HolderState::Unfenced => {}
            }
            let order = WireOrder::Load(planned.item.clone());
            let request = OrderRequest { fencing, order };
            if let Err(e) = self.parts.engines.order(*addr, &request).await {
                self.record(Code::OrderFailed, engine, &e.to_string());
            }
            // Its report lags; the next look sees the number.
            return false;
        }
        true
    }

    /// Says in the log which claims are over, and forgets those that are older
    /// than anybody remembers.
    async fn close(&mut self) {
        let now = self.now();
        let hold = self.hold();
        self.own.retain(|it| now.saturating_duration_since(it.made) < hold);
        let over: Vec<u64> = self.own.iter().filter(|it| it.over).map(|it| it.claim.id).collect();
        for id in over {
            if self.append(&OrderRecord::Done(id)).await {
                self.own.retain(|it| it.claim.id != id);
                self.tail.book.close(id);
            }
        }
    }

    /// Claims engines that have an order to come and no open claim.
    async fn claim_next(&mut self, plan: &OrderPlan) {
        for it in &plan.orders {
            let own = self.own.iter().any(|own| own.claim.engine == it.id);
            let waiting = self.own.iter().filter(|it| it.claim.kind == ClaimKind::Load).count();
            let loads = self.tail.book.open_loads().max(waiting);
            let full = !it.unload && loads >= self.parts.settings.loads * QUEUED;
            if own || full || self.tail.book.is_claimed(it.id) {
                continue;
            }
            let kind = if it.unload { ClaimKind::Unload } else { ClaimKind::Load };
            let claim = Claim { id: rand::random(), engine: it.id, kind, key: it.key };
            let what = it.item.full_name();
            let record = OrderRecord::Claim {
                id: claim.id,
                by: self.parts.router.clone(),
                engine: it.engine.clone(),
                unload: it.unload,
                what: what.clone(),
            };
            let made = self.now();
            if !self.append(&record).await {
                return;
            }
            let engine = it.engine.clone();
            self.own.push(Own { claim, engine, what, made, taken: None, sent: false, over: false });
        }
    }

    /// Appends a record; false when the log refused it. After a lost reply it
    /// counts when it is read back.
    async fn append(&mut self, record: &OrderRecord) -> bool {
        let body = serde_json::to_value(record).unwrap_or_default();
        self.parts.log.wait_for_budget(0.0).await;
        match self.parts.log.append(ORDER_STREAM, &body).await {
            Ok(_) | Err(PlatformError::NoAnswer { .. }) => true,
            Err(e) => {
                self.unreachable(&e);
                false
            }
        }
    }
}
