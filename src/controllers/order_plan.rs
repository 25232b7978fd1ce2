//! Decides which orders this router is to send to engines.

use std::net::SocketAddr;
use std::sync::Arc;

use xtra::prelude::*;

use crate::controllers::Publisher;
use crate::controllers::wanted::{Wanted, decided_item};
use crate::decide::hash_bytes;
use crate::decide::orders::{Holder, LoadedItem, Step, assign, next_step};
use crate::fleet::ModelKeys;
use crate::wire::{Instance, InstanceState, MemberStatus, ModelRef, Role};

/// Maximum number of engines that are checked to hold an item before another engine
/// unloads it.
const MAX_CHECKED_HOLDERS: usize = 2;

/// Requests the [`OrderPlan`] of this router.
#[derive(Debug)]
pub struct OrderQuery;

plain! {
    /// The next order to one engine.
    pub struct PlannedOrder {
        /// Name of the engine.
        pub engine: String,
        /// Hash of the name.
        pub id: u64,
        /// Address of the engine.
        pub addr: SocketAddr,
        /// Incarnation of the engine.
        pub incarnation: u64,
        /// Whether the order is to unload the item rather than to load it.
        pub unload: bool,
        /// Key of the item.
        pub key: u64,
        /// The item to load or unload.
        pub item: ModelRef,
        /// Engines that must hold the item before it is unloaded here.
        pub required_holders: Vec<(String, SocketAddr)>,
    }
}

/// The next order to each engine that this router is responsible for.
#[derive(Debug, Default)]
pub struct OrderPlan {
    /// The orders, at most one for each engine.
    pub orders: Vec<PlannedOrder>,
    /// Models that engines hold, by hash of the engine's name, without leaving engines.
    pub loaded: Vec<(u64, ModelKeys)>,
}

impl Publisher {
    fn plan_orders(&self) -> OrderPlan {
        let mut plan = OrderPlan::default();
        if self.members.own().status != MemberStatus::Alive {
            return plan;
        }
        let wanted = Wanted::new(&self.state);
        let engines: Vec<&Instance> =
            self.instance_table.instances().filter(|it| it.role == Role::Engine).collect();
        let holders: Vec<_> = engines.iter().map(|it| self.holder(it)).collect();
        let chosen = assign(&wanted.items, &holders);
        for (at, it) in holders.iter().enumerate() {
            let held = self.loaded_models.get(it.id, self.incarnation(it.id));
            let Some(held) = held.filter(|_| !it.leaving) else {
                continue;
            };
            plan.loaded.push((it.id, Arc::clone(held)));
            let known_items = self.known_items(it);
            let found: Vec<_> = known_items.iter().map(|it| it.0).collect();
            let step = next_step(at, &wanted.items, &holders, &chosen, &found);
            let Some(step) = step.filter(|_| self.own_rank(it.id) == 0) else {
                continue;
            };
            let item_named = |key| {
                let it = known_items.iter().find(|it| it.0.key == key).map(|it| it.1);
                it.or_else(|| wanted.names.get(&key)).cloned()
            };
            plan.orders.extend(self.planned_order(at, step, &engines, item_named));
        }
        plan
    }

    fn incarnation(&self, id: u64) -> u64 {
        self.loads.get(id).map_or(0, |it| it.incarnation)
    }

    /// The engine `it` in the form that decisions on orders need.
    fn holder<'a>(&'a self, it: &'a Instance) -> Holder<'a> {
        let id = hash_bytes(it.name.as_bytes());
        let incarnation = self.incarnation(id);
        let marked = self.parts.marks.is_leaving(&it.name, incarnation, self.now());
        Holder {
            id,
            pool: hash_bytes(it.pool.as_bytes()),
            domain: &it.domain,
            leaving: marked || it.standing == InstanceState::Leaving,
            held: self.loaded_models.get(id, incarnation).map(|it| &it[..]),
        }
    }

    /// Items held by an engine that tickets decide about and whose names are known here.
    fn known_items(&self, holder: &Holder<'_>) -> Vec<(LoadedItem, &ModelRef)> {
        let loaded = self.loads.get(holder.id).map_or(&[][..], |it| &it.loaded);
        let decided = loaded.iter().filter_map(|it| Some((decided_item(&self.state, it)?, it)));
        decided.filter(|it| holder.holds(it.0.key)).collect()
    }

    /// The order that carries out `step` at engine `at`; `None` when the name of the
    /// item is not known.
    fn planned_order(
        &self,
        at: usize,
        step: Step,
        engines: &[&Instance],
        item_named: impl Fn(u64) -> Option<ModelRef>,
    ) -> Option<PlannedOrder> {
        let (key, unload, required_holders) = match step {
            Step::Load(key) => (key, false, Vec::new()),
            Step::Unload { key, required_holders } => (key, true, required_holders),
        };
        let it = engines[at];
        let id = hash_bytes(it.name.as_bytes());
        let holder_addr = |at: &usize| (engines[*at].name.clone(), engines[*at].address);
        Some(PlannedOrder {
            engine: it.name.clone(),
            id,
            addr: it.address,
            incarnation: self.incarnation(id),
            unload,
            key,
            item: item_named(key)?,
            required_holders: required_holders
                .iter()
                .take(MAX_CHECKED_HOLDERS)
                .map(holder_addr)
                .collect(),
        })
    }
}

impl Handler<OrderQuery> for Publisher {
    type Return = OrderPlan;

    async fn handle(&mut self, _: OrderQuery, _: &mut Context<Self>) -> OrderPlan {
        self.plan_orders()
    }
}
