//! The load and the pace that backend servers report.

use slog::warn;

use crate::decide::PaceReport;
use crate::events::Code;
use crate::relay::{Relay, StatedLoad, StatedPace};
use crate::servers::Server;

impl Relay {
    /// Records the load that an answer of `server` to `request` reports.
    pub(crate) fn record_stated_load(&self, server: &Server, load: StatedLoad, request: &str) {
        let now = self.clock.now();
        server.set_reported_load(load.total(), now);
        let report = match load.pace {
            StatedPace::Absent => return,
            StatedPace::Named(percent) => PaceReport::new(percent / 100.0, now),
            StatedPace::Unreadable => None,
        };
        let Some(report) = report else {
            self.record_unreadable_pace(server, request);
            return;
        };
        server.pace.record(report);
    }

    fn record_unreadable_pace(&self, server: &Server, request: &str) {
        server.pace.record_unreadable();
        self.request_log.count_unreadable("pace");
        if server.stated.unreadable_pace.is_first() {
            let code = Code::PaceUnreadable;
            warn!(self.request_log.logger(), "{}", code.text();
                "event" => code.number(), "server" => &*server.id, "request" => request);
        }
    }
}
