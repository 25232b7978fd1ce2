//! Services whose backend servers say that they are brittle: one that has to turn too many
//! requests away in a second falls over.

use std::time::{Duration, Instant};

use slog::{info, warn};

use crate::events::Code;
use crate::relay::{Relay, StatedBrittle};
use crate::servers::Server;

/// How long a statement counts; all answers repeat it.
const STATEMENT_TIME: Duration = Duration::from_secs(3);
/// For how long this router leaves a brittle server alone that has turned a request away.
const PAUSE: Duration = Duration::from_secs(1);

/// When a server of a service last said that it is brittle.
#[derive(Debug, Default)]
pub(crate) struct BrittleState {
    stated: Option<Instant>,
}

impl Relay {
    /// Whether the servers of `service` are brittle.
    pub(crate) fn is_brittle(&self, service: &str) -> bool {
        let now = self.clock.now();
        let is_old = |at: Instant| now.saturating_duration_since(at) >= STATEMENT_TIME;
        let (is_brittle, has_ended) =
            self.brittle.with(service, BrittleState::default, |it| match it.stated {
                Some(at) if is_old(at) => (false, it.stated.take().is_some()),
                stated => (stated.is_some(), false),
            });
        if has_ended {
            let code = Code::ServiceSound;
            info!(self.request_log.logger(), "{}", code.text();
                "event" => code.number(), "service" => service);
        }
        is_brittle
    }

    /// Records what an answer says of `server` being brittle.
    pub(crate) fn record_stated_brittle(
        &self,
        service: &str,
        server: &Server,
        stated: StatedBrittle,
    ) {
        let log = self.request_log.logger();
        match stated {
            StatedBrittle::Absent => {}
            StatedBrittle::Named(bears) => {
                let now = self.clock.now();
                let record = |it: &mut BrittleState| it.stated.replace(now).is_none();
                if self.brittle.with(service, BrittleState::default, record) {
                    let code = Code::ServiceBrittle;
                    info!(log, "{}", code.text(); "event" => code.number(),
                        "service" => service, "server" => &*server.id, "bears" => bears);
                }
            }
            StatedBrittle::Unreadable if server.stated.unreadable_brittle.is_first() => {
                let code = Code::BrittleUnreadable;
                warn!(log, "{}", code.text();
                    "event" => code.number(), "server" => &*server.id);
            }
            StatedBrittle::Unreadable => {}
        }
    }

    /// Leaves `server` alone for a while if it is brittle, as it turned a request away.
    pub(crate) fn spare_brittle(&self, service: &str, server: &Server) {
        if self.is_brittle(service) {
            server.stated.backoff.begin(PAUSE, self.clock.now());
        }
    }
}
