//! Which orders this router has to give.

use std::net::SocketAddr;
use std::sync::Arc;

use xtra::prelude::*;

use crate::controllers::Publisher;
use crate::controllers::wanted::{Wanted, present};
use crate::decide::hash_bytes;
use crate::decide::orders::{Holder, Step, assign, next_step};
use crate::fleet::Keys;
use crate::wire::{Instance, Loaded, MemberStatus, Role, Standing};

/// Engines that must hold what another one unloads, of those that are to.
const KEEPERS: usize = 2;

/// Asks which orders this router has to give.
#[derive(Debug)]
pub struct OrderQuery;

plain! {
    /// The next order to one engine.
    pub struct Planned {
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
        pub what: Loaded,
        /// Engines that must hold it before it is unloaded.
        pub keepers: Vec<(String, SocketAddr)>,
    }
}

/// The next order to each engine that is this router's to order.
#[derive(Debug, Default)]
pub struct OrderPlan {
    /// At most one order to an engine.
    pub orders: Vec<Planned>,
    /// What these engines hold, by hash of their names, leaving ones left out.
    pub holds: Vec<(u64, Keys)>,
}

impl Publisher {
    fn plan_orders(&self) -> OrderPlan {
        let mut plan = OrderPlan::default();
        if self.members.own().status != MemberStatus::Alive {
            return plan;
        }
        let wanted = Wanted::new(&self.state);
        let now = self.now();
        let engines: Vec<&Instance> =
            self.roster.instances().filter(|it| it.role == Role::Engine).collect();
        let ids: Vec<u64> = engines.iter().map(|it| hash_bytes(it.name.as_bytes())).collect();
        let incarnation = |id| self.loads.get(id).map_or(0, |it| it.incarnation);
        let holder = |(it, id): (&&'_ Instance, &u64)| Holder {
            id: *id,
            pool: hash_bytes(it.pool.as_bytes()),
            domain: "",
            leaving: it.standing == Standing::Leaving
                || self.parts.marks.holds(&it.name, incarnation(*id), now),
            held: self.holds.get(*id, incarnation(*id)).map(|it| &it[..]),
        };
        let mut holders: Vec<Holder<'_>> = engines.iter().zip(&ids).map(holder).collect();
        for (it, engine) in holders.iter_mut().zip(&engines) {
            it.domain = &engine.domain;
        }
        let chosen = assign(&wanted.items, &holders);
        for (at, it) in engines.iter().enumerate() {
            let Some(held) = self.holds.get(ids[at], incarnation(ids[at])) else {
                continue;
            };
            if holders[at].leaving || self.own_rank(ids[at]) != 0 {
                continue;
            }
            plan.holds.push((ids[at], Arc::clone(held)));
            let loaded = self.loads.get(ids[at]).map_or(&[][..], |it| &it.loaded);
            let known: Vec<_> = loaded
                .iter()
                .filter_map(|it| Some((present(&self.state, it)?, it)))
                .filter(|it| holders[at].holds(it.0.key))
                .collect();
            let found: Vec<_> = known.iter().map(|it| it.0).collect();
            let (key, keepers) = match next_step(at, &wanted.items, &holders, &chosen, &found) {
                None => continue,
                Some(Step::Load(key)) => (key, None),
                Some(Step::Unload { key, keepers }) => (key, Some(keepers)),
            };
            let what = known.iter().find(|it| it.0.key == key).map(|it| it.1);
            let Some(what) = what.or_else(|| wanted.names.get(&key)) else {
                continue;
            };
            let keeper = |at: &usize| (engines[*at].name.clone(), engines[*at].address);
            let first = keepers.iter().flatten().take(KEEPERS);
            plan.orders.push(Planned {
                engine: it.name.clone(),
                id: ids[at],
                addr: it.address,
                incarnation: incarnation(ids[at]),
                unload: keepers.is_some(),
                key,
                what: what.clone(),
                keepers: first.map(keeper).collect(),
            });
        }
        plan
    }
}

impl Handler<OrderQuery> for Publisher {
    type Return = OrderPlan;

    async fn handle(&mut self, _: OrderQuery, _: &mut Context<Self>) -> OrderPlan {
        self.plan_orders()
    }
}
