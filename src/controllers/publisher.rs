//! The actor that owns the state and publishes the view.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use xtra::prelude::*;

use crate::controllers::engine_side::engine;
use crate::decide::hash_bytes;
use crate::events::{Code, EventLog, Fields};
use crate::fleet::{BackendServer, Pool, Router, View, ViewCell};
use crate::state::{InForce, Ticket};
use crate::wire::{Instance, LoadReport, Role, Standing};

/// Records of the ticket stream, in order.
#[derive(Debug)]
pub struct Folded {
    /// Offset and ticket, or why the record is none.
    pub records: Vec<(u64, Result<Ticket, String>)>,
}

/// A new version of the instance list.
#[derive(Debug)]
pub struct Listed {
    /// All instances.
    pub instances: Vec<Instance>,
}

/// A load report of an engine.
#[derive(Debug)]
pub struct Reported {
    /// Name of the engine.
    pub name: String,
    /// What it reports.
    pub report: LoadReport,
}

/// This router takes no new callers from now on.
#[derive(Debug)]
pub struct Leave;

/// Asks which engines to ask for their load.
#[derive(Debug)]
pub struct Targets;

/// Owner of everything that the view is made of.
#[derive(Debug, xtra::Actor)]
pub struct Publisher {
    name: String,
    cell: Arc<ViewCell>,
    events: Arc<EventLog>,
    state: InForce,
    instances: BTreeMap<String, Instance>,
    reports: HashMap<String, LoadReport>,
    sent: HashMap<String, Arc<AtomicU64>>,
    ready: bool,
    leaving: bool,
}

impl Publisher {
    /// A publisher for the router called `name`.
    pub fn new(name: &str, cell: Arc<ViewCell>, events: Arc<EventLog>) -> Publisher {
        Publisher {
            name: name.to_owned(),
            cell,
            events,
            state: InForce::default(),
            instances: BTreeMap::new(),
            reports: HashMap::new(),
            sent: HashMap::new(),
            ready: false,
            leaving: false,
        }
    }

    fn publish(&mut self) {
        let mut pools: HashMap<String, Pool> = HashMap::new();
        let mut routers = Vec::new();
        for it in self.instances.values() {
            if it.role == Role::Entry {
                routers.push(self.router(it));
                continue;
            }
            let pool = pools.entry(it.pool.clone()).or_default();
            if it.standing == Standing::Live {
                pool.figures.add(self.reports.get(&it.name));
            }
            let sent = Arc::clone(self.sent.entry(it.name.clone()).or_default());
            pool.engines.push(engine(it, self.reports.get(&it.name), sent));
            pool.servers.push(BackendServer {
                name: it.name.clone(),
                address: it.address,
                domain: it.domain.clone(),
            });
        }
        let state = Arc::new(self.state.clone());
        self.cell.store(View { ready: self.ready, state, pools, routers });
    }

    fn router(&self, it: &Instance) -> Router {
        let own = it.name == self.name;
        Router {
            name: it.name.clone(),
            id: hash_bytes(it.name.as_bytes()),
            address: it.address,
            control: it.control,
            domain: it.domain.clone(),
            leaving: it.standing == Standing::Leaving || (own && self.leaving),
        }
    }

    fn note(&self, offset: u64) {
        let Some(it) = self.state.outcomes.get(&offset) else {
            return;
        };
        let subject = it.number.to_string();
        match &it.rejection {
            None => {
                let detail = format!("offset {offset}");
                self.events
                    .record(Code::TicketAccepted, Fields { subject: &subject, detail: &detail });
            }
            Some(why) => {
                let detail = format!("offset {offset}: {why}");
                self.events
                    .record(Code::TicketRejected, Fields { subject: &subject, detail: &detail });
            }
        }
    }

    fn note_list_changes(&self, new: &BTreeMap<String, Instance>) {
        let record = |code, subject: &str| self.events.record(code, Fields { subject, detail: "" });
        for (name, it) in new {
            match self.instances.get(name) {
                None => record(Code::InstanceJoined, name),
                Some(old) if old.standing != it.standing && it.standing == Standing::Leaving => {
                    record(Code::InstanceLeaving, name);
                }
                Some(_) => {}
            }
        }
        for name in self.instances.keys().filter(|it| !new.contains_key(*it)) {
            record(Code::InstanceGone, name);
        }
    }
}

impl Handler<Folded> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: Folded, _: &mut Context<Self>) {
        for (offset, record) in message.records {
            if offset < self.state.next {
                continue;
            }
            self.state.fold(offset, record);
            self.note(offset);
        }
        if !self.ready && !self.state.objects.is_empty() {
            self.ready = true;
            let detail = format!("offset {}", self.state.next);
            self.events.record(Code::Ready, Fields { subject: &self.name, detail: &detail });
        }
        self.publish();
    }
}

impl Handler<Listed> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: Listed, _: &mut Context<Self>) {
        let new: BTreeMap<_, _> =
            message.instances.into_iter().map(|it| (it.name.clone(), it)).collect();
        self.note_list_changes(&new);
        self.instances = new;
        self.reports.retain(|name, _| self.instances.contains_key(name));
        self.sent.retain(|name, _| self.instances.contains_key(name));
        self.publish();
    }
}

impl Handler<Reported> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: Reported, _: &mut Context<Self>) {
        self.reports.insert(message.name, message.report);
        self.publish();
    }
}

impl Handler<Leave> for Publisher {
    type Return = ();

    async fn handle(&mut self, _: Leave, _: &mut Context<Self>) {
        self.leaving = true;
        self.publish();
    }
}

impl Handler<Targets> for Publisher {
    type Return = Vec<(String, SocketAddr)>;

    async fn handle(&mut self, _: Targets, _: &mut Context<Self>) -> Self::Return {
        let engines = self.instances.values().filter(|it| it.role == Role::Engine);
        engines.map(|it| (it.name.clone(), it.address)).collect()
    }
}
