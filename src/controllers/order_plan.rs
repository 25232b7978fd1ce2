//! Which orders this router has to give.

use std::net::SocketAddr;
use std::sync::Arc;

use xtra::prelude::*;

use crate::controllers::Publisher;
use crate::controllers::wanted::{Wanted, present};
use crate::decide::hash_bytes;
use crate::decide::orders::{Holder, LoadedItem, Step, assign, next_step};
use crate::fleet::ModelKeys;
use crate::wire::{Instance, InstanceState, Loaded, MemberStatus, Role};

/// Engines that must hold what another one unloads, of those that are to.
const MAX_CHECKED_HOLDERS: usize = 2;

/// Asks which orders this router has to give.
#[derive(Debug)]
pub struct OrderQuery;

plain! {
    /// The next order to one engine.
    pub struct PlannedOrder {
        /// Name of the engine.
        pub engine: String,
        /// Hash of it.
        pub id: u64,
        /// Where it answers.
        pub addr: SocketAddr,
        /// Its incarnation.
        pub incarnation: u64,
        /// Whether it is to unload.
        pub unload: bool,
        /// Key of what it is to load or unload.
        pub key: u64,
        /// What it is to load or unload.
        pub item: Loaded,
        /// Engines that must hold it before it is unloaded.
        pub required_holders: Vec<(String, SocketAddr)>,
    }
}

/// The next order to each engine that is this router's to order.
#[derive(Debug, Default)]
pub struct OrderPlan {
    /// At most one order to an engine.
    pub orders: Vec<PlannedOrder>,
    /// What engines hold, by hash of their names, leaving ones left out.
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
            let known = self.known(it);
            let found: Vec<_> = known.iter().map(|it| it.0).collect();
            let step = next_step(at, &wanted.items, &holders, &chosen, &found);
            let Some(step) = step.filter(|_| self.own_rank(it.id) == 0) else {
                continue;
            };
            let named = |key| {
                let it = known.iter().find(|it| it.0.key == key).map(|it| it.1);
                it.or_else(|| wanted.names.get(&key)).cloned()
            };
            plan.orders.extend(self.planned(at, step, &engines, named));
        }
        plan
    }

    fn incarnation(&self, id: u64) -> u64 {
        self.loads.get(id).map_or(0, |it| it.incarnation)
    }

    /// The engine `it` as orders see it.
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

    /// What this router knows by name of what an engine holds.
    fn known(&self, holder: &Holder<'_>) -> Vec<(LoadedItem, &Loaded)> {
        let loaded = self.loads.get(holder.id).map_or(&[][..], |it| &it.loaded);
        let decided = loaded.iter().filter_map(|it| Some((present(&self.state, it)?, it)));
        decided.filter(|it| holder.holds(it.0.key)).collect()
    }

    /// The order that `step` means for the engine at `at`.
    fn planned(
        &self,
        at: usize,
        step: Step,
        engines: &[&Instance],
        named: impl Fn(u64) -> Option<Loaded>,
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
            item: named(key)?,
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
