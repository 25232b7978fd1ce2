//! Sends requests on to another router, while this one is cut off from all backend servers.
//!
//! The other router handles such a request like one of its own callers: it selects the server,
//! counts attempts against its limits and retry budget, and keeps what the server states. It
//! never sends the request on again. This router relays the answer, and makes no attempts of its
//! own any more, as it does not know how many the other one made.

use std::sync::Arc;
use std::time::Duration;

use hyper::header::{HeaderMap, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::http::response::Parts;
use tokio::time::timeout_at;

use crate::decide::{Verdict, hash_bytes};
use crate::relay::attempt_loop::{Answer, AttemptResult, MIN_REMAINING};
use crate::relay::exchange::{Reply, UpstreamRequest, send_request, validate_reply};
use crate::relay::forwarder::pick_forwarder;
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::request_trace::KnownLoad;
use crate::relay::{
    AttemptError, Connection, Forwarder, Refusal, Relay, StatedLeaving, drop_hop_headers,
    may_be_events,
};
use crate::rules::RouteKind;
use crate::servers::Server;

/// On a request that another router sends on: how often that one sent it to servers.
pub(crate) const FORWARDED: HeaderName = HeaderName::from_static("filberttiller-forwarded");
/// On such a request: key of the software version that began its stream, where it is known.
const SOFTWARE: HeaderName = HeaderName::from_static("filberttiller-software");
/// On a refusal of such a request: its name.
const REFUSAL: HeaderName = HeaderName::from_static("filberttiller-refusal");
/// On the answer to such a request: hash of the incarnation of the backend server.
const SERVER: HeaderName = HeaderName::from_static("filberttiller-server");
/// Limit on the routers that one attempt is offered to.
const MAX_OFFERS: usize = 2;

/// Why another router has no answer to a request.
enum OfferError {
    /// It refused the request.
    Refused(Refusal),
    Failed(AttemptError),
}

impl From<AttemptError> for OfferError {
    fn from(error: AttemptError) -> OfferError {
        OfferError::Failed(error)
    }
}

impl Relay {
    /// The service of a request that is to be sent on to another router.
    pub(crate) fn service_to_forward<'a>(
        &self,
        pending: &PendingRequest,
        grant: &'a Grant,
    ) -> Option<&'a str> {
        let service = pending.target_service(grant)?;
        let is_due = !pending.is_forwarded() && self.is_cut_off(service);
        (is_due && !self.servers.lock().unwrap().is_evacuated(service)).then_some(service)
    }

    /// Whether another router may take a request for `service`.
    pub(crate) fn has_forwarder(&self, pending: &PendingRequest, service: &str) -> bool {
        let service = hash_bytes(service.as_bytes());
        let all = self.forwarders.load();
        !pending.is_forwarded() && pick_forwarder(&all, service, &pending.excluded).is_some()
    }

    /// Sends a request on to another router. What it could not serve itself is offered to one
    /// more.
    ///
    /// # Errors
    /// Fails when no router took it; it did not run then, unless the refusal says otherwise.
    pub(crate) async fn forward(
        self: &Arc<Relay>,
        pending: &mut PendingRequest,
        grant: Grant,
        service: u64,
    ) -> Result<AttemptResult, Refusal> {
        for _ in 0..MAX_OFFERS {
            let picked =
                pick_forwarder(&self.forwarders.load(), service, &pending.excluded).cloned();
            let Some(target) = picked else {
                break;
            };
            pending.excluded.push(target.hash);
            match self.offer(pending, &target).await {
                Ok(reply) => {
                    // The attempts that are left are those of the other router.
                    pending.sends = pending.sends.max(grant.route.attempts);
                    return self.take_forwarded(pending, grant, *reply).await;
                }
                Err(OfferError::Refused(refusal)) if refusal.is_of_router() => {
                    pending.trace.retry_after = None;
                }
                Err(OfferError::Refused(refusal)) => return Err(refusal),
                Err(OfferError::Failed(error)) if !error.has_arrived() => {}
                Err(OfferError::Failed(error)) => {
                    pending.sends = pending.sends.max(grant.route.attempts);
                    return Ok(AttemptResult::Failed(error, grant));
                }
            }
        }
        Err(Refusal::NoServer)
    }

    /// Offers a request to `target`, and records in its trace what became of it.
    async fn offer(
        &self,
        pending: &mut PendingRequest,
        target: &Forwarder,
    ) -> Result<Box<Reply>, OfferError> {
        let began = self.clock.now();
        let before = pending.trace.verdict;
        let offered = self.send_to_router(pending, target).await;
        let (result, verdict) = match &offered {
            Ok(_) => ("forwarded", Verdict::MayHaveRun),
            Err(OfferError::Refused(it)) => ("refused", before.and(it.verdict())),
            Err(OfferError::Failed(it)) => (it.as_str(), before.and(it.verdict())),
        };
        pending.trace.verdict = verdict;
        pending.trace.record_attempt(&target.name, KnownLoad::default(), result, began);
        offered
    }

    async fn send_to_router(
        &self,
        pending: &mut PendingRequest,
        target: &Forwarder,
    ) -> Result<Box<Reply>, OfferError> {
        let opened = Connection::open(target.address, self.clock.now()).await;
        let mut connection = opened.map_err(AttemptError::Connect)?;
        if pending.deadline.saturating_duration_since(self.clock.now()) < MIN_REMAINING {
            return Err(OfferError::Refused(Refusal::TooLate));
        }
        // The caller may leave while the other router has it.
        pending.trace.verdict = Verdict::MayHaveRun;
        let request = self.forwarded_request(pending);
        let sent = send_request(&request, &mut connection);
        let sent = timeout_at(pending.deadline.into(), sent).await;
        let response = sent.map_err(|_| AttemptError::TimedOut)??;
        if let Some(refusal) = read_refusal(response.headers()) {
            pending.trace.retry_after = read_retry_after(response.headers());
            return Err(OfferError::Refused(refusal));
        }
        let reply = validate_reply(response, &pending.meta.id, self.codec.answer, connection, None);
        let mut reply = reply.map_err(|it| it.error)?;
        self.merge_statement(&mut reply, target);
        Ok(Box::new(reply))
    }

    /// The request as the caller sent it, with the time that is left.
    fn forwarded_request(&self, pending: &PendingRequest) -> UpstreamRequest {
        let mut headers = pending.head.headers.clone();
        drop_hop_headers(&mut headers);
        let remaining = pending.deadline.saturating_duration_since(self.clock.now());
        (self.codec.forwarded)(&mut headers, remaining, pending.last_event.as_deref());
        headers.insert(FORWARDED, HeaderValue::from(pending.sends));
        headers.remove(SOFTWARE);
        if let Some(software) = pending.software {
            headers.insert(SOFTWARE, HeaderValue::from(software));
        }
        UpstreamRequest {
            method: pending.head.method.clone(),
            uri: pending.head.uri.clone(),
            headers,
            body: pending.body.clone(),
        }
    }

    /// Takes in that the server which answered leaves, before the answer is passed on.
    fn merge_statement(&self, reply: &mut Reply, target: &Forwarder) {
        let incarnation = reply.parts.headers.remove(SERVER);
        let incarnation = incarnation.and_then(|it| it.to_str().ok()?.parse().ok());
        if reply.head.stated.leaving != StatedLeaving::Leaving {
            return;
        }
        match incarnation {
            Some(it) => {
                let now = self.clock.now();
                self.merge_stated_leaving(it, now, now);
            }
            None => slog::warn!(self.request_log.logger(),
                "a router does not name the leaving server of its answer"; "peer" => &target.name),
        }
    }

    async fn take_forwarded(
        &self,
        pending: &mut PendingRequest,
        grant: Grant,
        reply: Reply,
    ) -> Result<AttemptResult, Refusal> {
        let status = reply.parts.status;
        pending.trace.framing = Some(reply.framing);
        pending.trace.record_answer(status.as_u16());
        let is_stream = grant.route.kind == RouteKind::Streaming
            && status.is_success()
            && may_be_events(&reply.parts.headers);
        if is_stream {
            return Ok(AttemptResult::Answer(Answer::Stream(Box::new(reply), grant.route)));
        }
        let deadline = pending.deadline.into();
        match reply.read_full(deadline, &pending.client, &mut pending.trace).await {
            Ok((response, ..)) => Ok(AttemptResult::Answer(Answer::Full(response))),
            Err(error) => Ok(AttemptResult::Failed(error, grant)),
        }
    }
}

/// Names the server that answered a request of another router.
pub(crate) fn name_server(parts: &mut Parts, server: &Server) {
    parts.headers.insert(SERVER, HeaderValue::from(server.incarnation()));
}

/// Names the refusal of a request of another router.
pub(crate) fn name_refusal(headers: &mut HeaderMap, refusal: Refusal) {
    headers.insert(REFUSAL, HeaderValue::from_static(refusal.as_str()));
}

plain! {
    /// What the router that sent a request on did with it before.
    pub(crate) struct Forwarding {
        /// How often it sent the request to servers.
        pub sends: u32,
        /// Key of the software version that began the stream, where it is known.
        pub software: Option<u64>,
    }
}

/// What a request says that another router sent on; `None` if a caller sent it.
pub(crate) fn take_forwarding(headers: &mut HeaderMap) -> Option<Forwarding> {
    let software = headers.remove(SOFTWARE);
    let sends = headers.remove(FORWARDED)?;
    // What cannot be read counts as spent, so that nothing is repeated once too often.
    let sends = sends.to_str().ok().and_then(|it| it.parse().ok()).unwrap_or(u32::MAX);
    let software = software.and_then(|it| it.to_str().ok()?.parse().ok());
    Some(Forwarding { sends, software })
}

fn read_refusal(headers: &HeaderMap) -> Option<Refusal> {
    let name = headers.get(REFUSAL)?.to_str().ok()?;
    Refusal::ALL.iter().copied().find(|it| it.as_str() == name)
}

fn read_retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
