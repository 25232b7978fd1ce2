//! Sends load and unload orders to engines, each under a claim in the log.

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

/// Maximum number of claimed loads for each load slot; further loads are claimed later.
const QUEUED_PER_SLOT: usize = 2;
/// Status with which an engine refuses an order with an old fencing number.
const CONFLICT: u16 = 409;
/// Time after which an accepted order that has not taken effect is sent again.
const RESEND_AFTER: Duration = Duration::from_secs(5);

/// Parts of an [`OrderDispatcher`].
#[derive(Debug)]
pub struct OrderParts {
    /// Name of this router.
    pub router: String,
    /// The log.
    pub log: LogClient,
    /// The engines.
    pub engines: EngineClient,
    /// The publisher, which decides on the orders.
    pub publisher: Address<Publisher>,
    /// Recent events.
    pub events: Arc<EventLog>,
    /// The clock.
    pub clock: SharedClock,
    /// Settings.
    pub settings: Orders,
    /// Counts sent orders.
    pub sent: IntCounter,
    /// Counts orders refused for an old fencing number.
    pub refused: IntCounter,
}

/// A claim of this router.
#[derive(Debug)]
struct OwnClaim {
    claim: Claim,
    engine: String,
    what: String,
    /// When the claim was made, just before its append.
    claimed_at: Instant,
    /// When the engine last accepted the order, and in which incarnation.
    accepted: Option<(Instant, u64)>,
    /// Whether the order may have reached the engine.
    is_sent: bool,
    /// Whether the claim only has to be closed in the log.
    is_over: bool,
}

/// Claims engines, sends them orders and closes the claims.
#[derive(Debug)]
pub struct OrderDispatcher {
    parts: OrderParts,
    tail: OrderTail,
    own: Vec<OwnClaim>,
    reachable: bool,
}

impl OrderDispatcher {
    /// A dispatcher without claims that has read nothing from the log yet.
    pub fn new(parts: OrderParts) -> OrderDispatcher {
        let tail = OrderTail::new(&parts);
        OrderDispatcher { parts, tail, own: Vec::new(), reachable: true }
    }

    /// Sends orders until the publisher stops.
    pub async fn run(mut self) {
        while let Ok(plan) = self.parts.publisher.send(OrderQuery).await {
            self.poll(&plan).await;
            let pause = self.parts.settings.every.mul_f64(rand::rng().random_range(0.8..1.2));
            sleep(pause).await;
        }
    }

    /// Advances the claims of this router, closes those that are over and claims the
    /// next orders of `plan`.
    pub async fn poll(&mut self, plan: &OrderPlan) {
        if plan.orders.is_empty() && self.own.is_empty() {
            return;
        }
        let current = self.read().await;
        for i in 0..self.own.len() {
            self.advance(i, plan).await;
        }
        self.close().await;
        if current && !self.tail.may_miss_claims() {
            self.claim_next(plan).await;
        }
    }

    fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    fn hold(&self) -> Duration {
        self.parts.settings.hold
    }

    /// How long after a claim was made its order may be sent: half the time for which
    /// other routers regard the engine as claimed.
    fn lease(&self) -> Duration {
        self.hold() / 2
    }

    fn record(&self, code: Code, subject: &str, detail: &str) {
        self.parts.events.record(code, Fields { subject, detail });
    }

    /// Reads the stream of claims to its end; false when the log does not answer.
    async fn read(&mut self) -> bool {
        match self.tail.read().await {
            Ok(()) => {
                if !std::mem::replace(&mut self.reachable, true) {
                    self.record(Code::OrdersResumed, &self.parts.router, "");
                }
                true
            }
            Err(e) => {
                self.record_unreachable(&e);
                false
            }
        }
    }

    fn record_unreachable(&mut self, error: &PlatformError) {
        if std::mem::replace(&mut self.reachable, false) {
            self.record(Code::OrdersHeld, &self.parts.router, &error.to_string());
        }
    }

    /// Takes the next step for the claim at `i`.
    async fn advance(&mut self, i: usize, plan: &OrderPlan) {
        let now = self.now();
        let own = &self.own[i];
        if own.is_over {
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
            self.own[i].is_over = true;
            return;
        }
        let planned = plan.orders.iter().find(same);
        let late = now.saturating_duration_since(own.claimed_at) >= self.lease();
        if !own.is_sent && (late || planned.is_none()) {
            if late {
                self.record(Code::ClaimLapsed, &own.engine, &own.what);
            }
            self.own[i].is_over = true;
            return;
        }
        let Some(planned) = planned.filter(|_| !late) else {
            return;
        };
        let recent = own.accepted.is_some_and(|(at, incarnation)| {
            incarnation == planned.incarnation && now.saturating_duration_since(at) < RESEND_AFTER
        });
        let slots = self.parts.settings.loads;
        if !recent && self.tail.claims.state(own.claim.id, slots) == ClaimState::Ready {
            self.send_order(i, planned).await;
        }
    }

    /// Sends the order of the claim at `i`, unless the engines that must hold the item
    /// do not hold it or the plan has changed.
    async fn send_order(&mut self, i: usize, planned: &PlannedOrder) {
        let Some(offset) = self.tail.claims.offset(self.own[i].claim.id) else {
            return;
        };
        let fencing = offset + 1;
        if planned.unload && !self.is_held_elsewhere(planned, fencing).await {
            return;
        }
        let order = match planned.unload {
            true => WireOrder::Unload(planned.item.clone()),
            false => WireOrder::Load(planned.item.clone()),
        };
        if !self.is_still_valid(i, planned).await {
            return;
        }
        let own = &mut self.own[i];
        own.is_sent = true;
        let detail = format!("{order:?} with {fencing}");
        let result = self.parts.engines.order(planned.addr, &OrderRequest { fencing, order }).await;
        self.parts.sent.inc();
        self.record(Code::OrderSent, &planned.engine, &detail);
        self.record_result(i, planned, result);
    }

    /// Checks the order again just before it is sent: the engine may have begun to
    /// leave, another router may have become responsible for it, and the lease of the
    /// claim may be over.
    async fn is_still_valid(&mut self, i: usize, planned: &PlannedOrder) -> bool {
        let Ok(plan) = self.parts.publisher.send(OrderQuery).await else {
            return false;
        };
        let valid = plan.orders.contains(planned);
        valid && self.now().saturating_duration_since(self.own[i].claimed_at) < self.lease()
    }

    fn record_result(
        &mut self,
        i: usize,
        planned: &PlannedOrder,
        result: Result<(), PlatformError>,
    ) {
        let now = self.now();
        match result {
            Ok(()) => self.own[i].accepted = Some((now, planned.incarnation)),
            Err(PlatformError::Status { status: CONFLICT, body }) => {
                self.parts.refused.inc();
                self.record(Code::OrderRefused, &planned.engine, &body);
                self.own[i].is_over = true;
            }
            Err(e) => self.record(Code::OrderFailed, &planned.engine, &e.to_string()),
        }
    }

    /// Whether all required holders hold the item that another engine is to unload, and
    /// refuse every order older than `fencing`.
    ///
    /// A holder that has not seen `fencing` yet is ordered to load the item again, which
    /// changes nothing but the highest number that it has seen; its report is checked in
    /// a later poll.
    async fn is_held_elsewhere(&self, planned: &PlannedOrder, fencing: u64) -> bool {
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
            // Reports lag behind orders: the next poll sees the number.
            return false;
        }
        true
    }

    /// Closes in the log the claims that are over, and drops claims so old that every
    /// other router has dropped them.
    async fn close(&mut self) {
        let now = self.now();
        let hold = self.hold();
        self.own.retain(|it| now.saturating_duration_since(it.claimed_at) < hold);
        let over: Vec<u64> =
            self.own.iter().filter(|it| it.is_over).map(|it| it.claim.id).collect();
        for id in over {
            if self.append(&OrderRecord::Done(id)).await {
                self.own.retain(|it| it.claim.id != id);
                self.tail.claims.close(id);
            }
        }
    }

    /// Claims engines that have a planned order and no open claim.
    async fn claim_next(&mut self, plan: &OrderPlan) {
        for it in &plan.orders {
            let own = self.own.iter().any(|own| own.claim.engine == it.id);
            let waiting = self.own.iter().filter(|it| it.claim.kind == ClaimKind::Load).count();
            let loads = self.tail.claims.open_loads().max(waiting);
            let full = !it.unload && loads >= self.parts.settings.loads * QUEUED_PER_SLOT;
            if own || full || self.tail.claims.is_claimed(it.id) {
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
            let claimed_at = self.now();
            if !self.append(&record).await {
                return;
            }
            let engine = it.engine.clone();
            self.own.push(OwnClaim {
                claim,
                engine,
                what,
                claimed_at,
                accepted: None,
                is_sent: false,
                is_over: false,
            });
        }
    }

    /// Appends a record; false when the append failed for certain. When only the reply
    /// is lost, the record counts once it is read back.
    async fn append(&mut self, record: &OrderRecord) -> bool {
        let body = serde_json::to_value(record).unwrap_or_default();
        self.parts.log.wait_for_budget(0.0).await;
        match self.parts.log.append(ORDER_STREAM, &body).await {
            Ok(_) | Err(PlatformError::NoAnswer { .. }) => true,
            Err(e) => {
                self.record_unreachable(&e);
                false
            }
        }
    }
}
