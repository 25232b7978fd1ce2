//! Puts the evacuation of failure domains into force, as operators request it.

use std::collections::BTreeSet;
use std::time::Instant;

use slog::info;

use crate::events::Code;
use crate::relay::Relay;
use crate::rules::{EvacuatedDomains, EvacuationMerge, Evacuations, OperatorPage};
use crate::servers::Server;
use crate::wire::WireEvacuations;

impl Relay {
    /// Applies what operators wrote of evacuations. The other routers are told of a change at
    /// once.
    pub(crate) fn apply_evacuations(&self, page: &OperatorPage, now: Instant) {
        let OperatorPage { rules, evacuations } = page;
        let apply =
            |it: &mut Evacuations| it.apply(evacuations, rules.next, rules.is_complete, now);
        if self.change_evacuations(apply, "store") {
            self.urgent_update.notify_one();
        }
    }

    /// Merges what another router knows of evacuations; false if it lacks something that is
    /// known here.
    pub(crate) fn merge_evacuations(&self, told: Option<WireEvacuations>, now: Instant) -> bool {
        let told = told.map(EvacuatedDomains::from);
        let mut merge = EvacuationMerge::Known;
        self.change_evacuations(
            |it| {
                merge = it.merge(told, now);
                merge == EvacuationMerge::TakenIn
            },
            "router",
        );
        merge != EvacuationMerge::Outdated
    }

    /// Whether `server` is in an evacuated domain, so that no request is sent to it.
    pub(crate) fn is_evacuated(&self, server: &Server) -> bool {
        self.evacuations.lock().unwrap().domains().contains(&*server.domain)
    }

    /// What other routers are told of evacuations.
    pub(crate) fn evacuation_news(&self, now: Instant) -> Option<WireEvacuations> {
        self.evacuations.lock().unwrap().told(now).map(WireEvacuations::from)
    }

    /// Makes a change that returns whether it may have changed the evacuated domains. Servers
    /// follow before it returns. True if there was a change.
    fn change_evacuations(
        &self,
        change: impl FnOnce(&mut Evacuations) -> bool,
        source: &'static str,
    ) -> bool {
        let mut evacuations = self.evacuations.lock().unwrap();
        let former = evacuations.domains().clone();
        if !change(&mut evacuations) || *evacuations.domains() == former {
            return false;
        }
        let current = evacuations.domains();
        self.servers.lock().unwrap().set_evacuated(current);
        // What waits for servers of the domain is refused at once.
        self.room.waiters.wake_all();
        self.log_evacuations(&former, current, source);
        true
    }

    fn log_evacuations(
        &self,
        former: &BTreeSet<String>,
        current: &BTreeSet<String>,
        source: &'static str,
    ) {
        let begun = current.difference(former).map(|it| (Code::DomainEvacuated, it));
        let ended = former.difference(current).map(|it| (Code::DomainTakenBack, it));
        for (code, domain) in begun.chain(ended) {
            info!(self.request_log.logger(), "{}", code.text();
                "event" => code.number(), "domain" => domain, "source" => source);
        }
    }
}
