//! At which software version a stream goes on that a caller takes up.

use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::relay::origin_query::{FoundOrigin, OriginQuery};
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::{Refusal, Relay};
use crate::rules::RouteKind;
use crate::servers::{ServiceSoftware, SoftwareVersion};

/// Limit on the wait for what other routers and the store know of a stream.
const QUERY_TIMEOUT: Duration = Duration::from_millis(400);

impl Relay {
    /// Finds the software version that began a stream that the caller takes up, unless it is
    /// known already, so that only servers of that version are selected.
    ///
    /// # Errors
    /// Refuses a stream of which neither a router that can be reached nor the store knows the
    /// version, unless all streams of the service began at one version.
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
        if self.servers.lock().unwrap().software(&service) == ServiceSoftware::None {
            return Err(Refusal::NoServer);
        }
        match self.query_origin(stream, service).await {
            FoundOrigin::Known(software) => pending.set_origin(software, "told"),
            FoundOrigin::Only(software) => pending.set_origin(software, "only_version"),
            FoundOrigin::Unknown => return Err(Refusal::UnknownOrigin),
        }
        Ok(())
    }

    /// Whether a request begins a stream that its caller may take up, and so must go to a server
    /// whose version is registered.
    pub(crate) fn begins_resumable_stream(&self, pending: &PendingRequest, grant: &Grant) -> bool {
        grant.route.resumable && pending.software.is_none()
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

    /// Key of the software version that began `stream`, as far as this router knows.
    pub(crate) fn known_origin(&self, stream: u64) -> Option<u64> {
        self.origins.lock().unwrap().software(stream, self.clock.now())
    }

    /// What other routers and the store know of a stream.
    async fn query_origin(&self, stream: u64, service: String) -> FoundOrigin {
        let (found, received) = oneshot::channel();
        let query = OriginQuery { stream, service, found };
        if self.origin_queries.try_send(query).is_err() {
            // Too many wait already.
            return FoundOrigin::default();
        }
        match timeout(QUERY_TIMEOUT, received).await {
            Ok(Ok(found)) => found,
            Ok(Err(_)) | Err(_) => FoundOrigin::default(),
        }
    }
}
