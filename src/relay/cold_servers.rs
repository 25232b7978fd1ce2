//! What this router may send to backend servers that are cold.

use std::sync::Arc;

use slog::warn;

use crate::decide::LimitSenders;
use crate::events::Code;
use crate::relay::{Relay, StatedCold};
use crate::servers::{ColdTerms, Server};

impl Relay {
    /// What the fleet may send to the cold servers of `service`.
    pub(crate) fn cold_terms(&self, service: &str) -> ColdTerms {
        let rules = self.rules.load();
        let rate = rules.and_then(|it| it.service(service)?.cold_rate);
        let senders = rate.and_then(|_| self.cold_senders.load_full());
        ColdTerms { rate, senders }
    }

    /// Sets the routers that share what cold servers take; `None` while they are not known.
    pub(crate) fn set_cold_senders(&self, senders: Option<LimitSenders>) {
        if self.cold_senders.load().as_deref() == senders.as_ref() {
            return;
        }
        self.cold_senders.store(senders.map(Arc::new));
        for it in self.servers.lock().unwrap().all() {
            it.forget_cold_share();
        }
    }

    /// Records for how long an answer to `request` says that its server is cold.
    pub(crate) fn record_stated_cold(&self, server: &Server, stated: StatedCold, request: &str) {
        match stated {
            StatedCold::Absent => {}
            StatedCold::Named(time) => server.extend_cold(time, self.clock.now()),
            StatedCold::Unreadable if server.stated.unreadable_cold.is_first() => {
                let code = Code::ColdUnreadable;
                warn!(self.request_log.logger(), "{}", code.text();
                    "event" => code.number(), "server" => &*server.id, "request" => request);
            }
            StatedCold::Unreadable => {}
        }
    }
}
