//! Limits of requests a second that backend servers name to all routers together.

use std::time::Instant;

use slog::{info, warn};

use crate::decide::LimitSenders;
use crate::events::Code;
use crate::relay::{Relay, StatedLimit};
use crate::servers::{LimitChange, LimitStatement, Server};
use crate::wire::age_ms;

impl Relay {
    /// Records what an answer says of the limit of its server.
    pub(crate) fn record_stated_limit(&self, server: &Server, stated: StatedLimit) {
        let limit = match stated {
            StatedLimit::Absent => None,
            StatedLimit::Unstated => return,
            StatedLimit::Named(limit) => Some(limit),
            StatedLimit::Unreadable => {
                let code = Code::LimitUnreadable;
                warn!(self.request_log.logger(), "{}", code.text();
                    "event" => code.number(), "server" => &*server.id);
                return;
            }
        };
        let now = self.clock.now();
        self.apply_limit(server, LimitStatement { limit, at: now }, now, "own");
    }

    /// Merges what another router heard of the limit of a server.
    pub(crate) fn merge_limit(&self, server: &Server, statement: LimitStatement, now: Instant) {
        self.apply_limit(server, statement, now, "router");
    }

    /// Sets the routers that share the limits.
    pub(crate) fn set_limit_senders(&self, senders: LimitSenders) {
        if **self.limit_senders.load() == senders {
            return;
        }
        for it in self.servers.lock().unwrap().all() {
            it.set_limit_senders(&senders);
        }
        self.limit_senders.store(senders.into());
    }

    fn apply_limit(
        &self,
        server: &Server,
        statement: LimitStatement,
        now: Instant,
        source: &'static str,
    ) {
        let change = server.state_limit(statement, &self.limit_senders.load(), now);
        let code = match change {
            LimitChange::None => return,
            LimitChange::Begun | LimitChange::Changed => Code::ServerLimited,
            LimitChange::Ended => Code::ServerUnlimited,
        };
        info!(self.request_log.logger(), "{}", code.text();
            "event" => code.number(), "server" => &*server.id, "limit" => statement.limit,
            "source" => source,
            "age_ms" => age_ms(statement.at, now));
    }
}
