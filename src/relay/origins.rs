//! At which software version a stream goes on that a caller takes up.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::relay::origin_query::{OriginQuery, OriginReplies, OriginReply};
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::{Refusal, Relay};
use crate::rules::RouteKind;
use crate::servers::{ServiceSoftware, SoftwareVersion};

/// Limit on the wait for what other routers know of a stream.
const QUERY_TIMEOUT: Duration = Duration::from_millis(200);
/// The only version of a service is trusted without asking other routers if the servers were
/// read within this time, and this router has run for longer.
const SETTLED_TIME: Duration = Duration::from_secs(3);

impl Relay {
    /// Finds the software version that began a stream that the caller takes up, unless it is
    /// known already, so that only servers of that version are selected.
    ///
    /// # Errors
    /// Refuses a stream of which no router that can be reached knows the version, while it may
    /// have been another one than that of the servers.
    pub(crate) async fn find_origin(
        &self,
        pending: &mut PendingRequest,
        grant: &Grant,
    ) -> Result<(), Refusal> {
        let is_taken_up = pending.meta.last_event.is_some();
        if !is_taken_up || pending.software.is_some() || grant.route.kind != RouteKind::Streaming {
            return Ok(());
        }
        let stream = pending.stream_hash();
        if let Some(software) = self.known_origin(stream) {
            pending.set_origin(software, "known");
            return Ok(());
        }
        let service = pending.target_service(grant).ok_or(Refusal::NoServer)?.to_owned();
        let own = self.servers.lock().unwrap().software(&service);
        match own {
            ServiceSoftware::None => return Err(Refusal::NoServer),
            ServiceSoftware::One(software) if self.is_settled() => {
                pending.set_origin(software, "only_version");
                return Ok(());
            }
            ServiceSoftware::One(_) | ServiceSoftware::Several => {}
        }
        let told = self.query_origin(stream, service).await;
        match (told.software(), own) {
            (Some(software), _) => pending.set_origin(software, "router"),
            (None, ServiceSoftware::One(software)) if told.confirm(own) => {
                pending.set_origin(software, "only_version");
            }
            _ => return Err(Refusal::UnknownOrigin),
        }
        Ok(())
    }

    /// Records the software version that wrote the first event that is relayed to the caller.
    pub(crate) fn record_origin(&self, pending: &mut PendingRequest, software: &SoftwareVersion) {
        if pending.is_origin_recorded {
            return;
        }
        pending.is_origin_recorded = true;
        pending.software = Some(software.key());
        let origin = pending.origin(software.key());
        self.origins.lock().unwrap().record(origin, &pending.trace.service);
    }

    /// What this router knows of a stream, for another router.
    pub(crate) fn origin_reply(&self, stream: u64, service: &str) -> OriginReply {
        let software = self.known_origin(stream);
        OriginReply { software, service: self.servers.lock().unwrap().software(service) }
    }

    fn known_origin(&self, stream: u64) -> Option<u64> {
        self.origins.lock().unwrap().software(stream, self.clock.now())
    }

    /// Whether this router knows the versions that serve, without other routers.
    fn is_settled(&self) -> bool {
        let age = self.clock.now().saturating_duration_since(self.started);
        age > SETTLED_TIME && self.servers_lease.holds(self.clock.boot(), SETTLED_TIME)
    }

    /// What other routers know of a stream.
    async fn query_origin(&self, stream: u64, service: String) -> OriginReplies {
        let (replies, received) = oneshot::channel();
        let query = OriginQuery { stream, service, replies };
        if self.origin_queries.try_send(query).is_err() {
            // Too many wait already.
            return OriginReplies::unreached();
        }
        match timeout(QUERY_TIMEOUT, received).await {
            Ok(Ok(replies)) => replies,
            Ok(Err(_)) | Err(_) => OriginReplies::unreached(),
        }
    }
}
