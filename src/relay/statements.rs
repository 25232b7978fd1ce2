//! What the heads of answers say of their servers.

use std::time::Instant;

use slog::{info, warn};

use crate::events::Code;
use crate::relay::{Relay, ServerStatements, StatedDelay, StatedLeaving};
use crate::servers::Server;
use crate::wire::age_ms;

impl Relay {
    /// Records what the answer to `request` says of `server` of `service`, which sent it.
    pub(crate) fn record_statements(
        &self,
        service: &str,
        server: &Server,
        stated: ServerStatements,
        request: &str,
    ) {
        self.record_stated_limit(server, stated.limit);
        if let Some(load) = stated.load {
            self.record_stated_load(server, load, request);
            server.tokens.record_waiting(load.waiting, self.clock.now());
        }
        self.record_stated_leaving(server, stated.leaving, request);
        self.record_stated_brittle(service, server, stated.brittle);
        self.record_stated_delay(server, stated.delay, request);
        self.record_stated_cold(server, stated.cold, request);
    }

    /// Merges that another router knows of a server that said at `at` that it leaves.
    pub(crate) fn merge_stated_leaving(&self, incarnation: u64, at: Instant, now: Instant) {
        let left = self.servers.lock().unwrap().state_leaving(incarnation, at, now);
        if let Some(server) = left {
            let code = Code::LeavingStated;
            info!(self.request_log.logger(), "{}", code.text();
                "event" => code.number(), "server" => &*server.id, "source" => "router",
                "age_ms" => age_ms(at, now));
            self.pool.close_idle(&server);
        }
    }

    fn record_stated_delay(&self, server: &Server, stated: StatedDelay, request: &str) {
        let log = self.request_log.logger();
        match stated {
            StatedDelay::Absent => {}
            StatedDelay::Named(time) => {
                let Some(time) = server.stated.backoff.begin(time, self.clock.now()) else {
                    return;
                };
                let code = Code::ServerBacksOff;
                info!(log, "{}", code.text(); "event" => code.number(), "server" => &*server.id,
                    "request" => request, "time_ms" => time.as_millis() as u64);
            }
            StatedDelay::Unreadable if server.stated.backoff.unreadable.is_first() => {
                let code = Code::DelayUnreadable;
                warn!(log, "{}", code.text(); "event" => code.number(), "server" => &*server.id,
                    "request" => request);
            }
            StatedDelay::Unreadable => {}
        }
    }

    fn record_stated_leaving(&self, server: &Server, stated: StatedLeaving, request: &str) {
        match stated {
            StatedLeaving::Leaving if server.mark_stated_leaving() => {
                let now = self.clock.now();
                self.servers.lock().unwrap().state_leaving(server.incarnation(), now, now);
                let code = Code::LeavingStated;
                info!(self.request_log.logger(), "{}", code.text();
                    "event" => code.number(), "server" => &*server.id, "source" => "own",
                    "request" => request);
                self.pool.close_idle(server);
            }
            StatedLeaving::Unreadable if server.stated.unreadable_leaving.is_first() => {
                let code = Code::LeavingUnreadable;
                warn!(self.request_log.logger(), "{}", code.text();
                    "event" => code.number(), "server" => &*server.id, "request" => request);
            }
            StatedLeaving::Absent | StatedLeaving::Leaving | StatedLeaving::Unreadable => {}
        }
    }
}
