//! Sends a request to one backend server and reads the head of its answer.

use std::ops::RangeInclusive;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::http::response::Parts;
use hyper::{Method, Request, Response, StatusCode, Uri, Version};
use tokio::time::{Instant, timeout_at};

use crate::clock::SharedClock;
use crate::intake::{Client, Listener, ReadError, read_body};
use crate::relay::answer_body::AnswerBody;
use crate::relay::body::MAX_BODY_BYTES;
use crate::relay::connection::SendError;
use crate::relay::request_trace::RequestTrace;
use crate::relay::{
    AnswerHead, AttemptError, BodyEnd, Connection, Framing, ServerStatements, StatedDelay,
    drop_hop_headers,
};
use crate::servers::InFlight;

/// Statuses of answers. Any other is no answer, also that of a change of protocol, which no request
/// asks for.
const FINAL_STATUSES: RangeInclusive<u16> = 200..=599;

/// A request as it goes to a backend server.
#[derive(Debug, Clone)]
pub(crate) struct UpstreamRequest {
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
}

impl UpstreamRequest {
    fn to_request(&self) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        *request.headers_mut() = self.headers.clone();
        request
    }
}

/// A valid head of an answer, with its body still to be read.
#[derive(Debug)]
pub(crate) struct Reply {
    pub parts: Parts,
    pub head: AnswerHead,
    pub framing: Framing,
    pub body: AnswerBody,
    pub connection: Connection,
    /// Absent where another router sent the request to the server.
    pub in_flight: Option<InFlight>,
}

/// Why there is no valid answer.
#[derive(Debug)]
pub(crate) struct ExchangeError {
    pub error: AttemptError,
    /// What the server said of itself as it shed the request.
    pub stated: Option<ServerStatements>,
}

impl ExchangeError {
    fn new(error: AttemptError, head: &AnswerHead) -> ExchangeError {
        // Any other head may come from another server.
        let stated = (error == AttemptError::Shed).then(|| head.stated.of_refusal());
        ExchangeError { error, stated }
    }
}

impl From<AttemptError> for ExchangeError {
    fn from(error: AttemptError) -> ExchangeError {
        ExchangeError { error, stated: None }
    }
}

/// Sends `request` and validates the head of the answer. Headers and version that concern
/// the connection to the server only are removed.
///
/// # Errors
/// Fails when there is no valid answer; the error states whether the request may have run.
pub(crate) async fn exchange(
    request: &UpstreamRequest,
    mut connection: Connection,
    mut in_flight: InFlight,
    id: &str,
    read: fn(&HeaderMap) -> AnswerHead,
    deadline: Instant,
    clock: &SharedClock,
) -> Result<Reply, ExchangeError> {
    let sent = timeout_at(deadline, send_request(request, &mut connection)).await;
    let response = sent.map_err(|_| AttemptError::TimedOut)??;
    if response.status().is_success() {
        in_flight.end_reading(clock.now());
    }
    validate_reply(response, id, read, connection, Some(in_flight))
}

/// Sends `request` and reads the head of the answer.
///
/// # Errors
/// Fails when no head arrives; the error states whether the request may have run.
pub(crate) async fn send_request(
    request: &UpstreamRequest,
    connection: &mut Connection,
) -> Result<Response<Incoming>, AttemptError> {
    connection.send(request.to_request()).await.map_err(|e| match e {
        SendError::Unsent(_) => AttemptError::Unsent,
        SendError::Garbled => AttemptError::Garbled,
        SendError::Lost => AttemptError::Lost,
    })
}

/// Validates the head of an answer to the request `id`, and removes what concerns the connection
/// only.
///
/// # Errors
/// Fails when the answer is not valid.
pub(crate) fn validate_reply(
    response: Response<Incoming>,
    id: &str,
    read: fn(&HeaderMap) -> AnswerHead,
    connection: Connection,
    in_flight: Option<InFlight>,
) -> Result<Reply, ExchangeError> {
    let framing = Framing::of(&response);
    let (mut parts, body) = response.into_parts();
    let head = read_head(&parts, read);
    validate(parts.status, &head, id).map_err(|error| ExchangeError::new(error, &head))?;
    drop_hop_headers(&mut parts.headers);
    parts.version = Version::HTTP_11;
    let body = AnswerBody::new(body, connection.budget.clone());
    Ok(Reply { parts, head, framing, body, connection, in_flight })
}

/// Reads the head of an answer.
pub(crate) fn read_head(parts: &Parts, read: fn(&HeaderMap) -> AnswerHead) -> AnswerHead {
    let mut head = read(&parts.headers);
    if parts.status != StatusCode::SERVICE_UNAVAILABLE {
        head.stated.delay = StatedDelay::Absent;
    }
    head
}

fn validate(status: StatusCode, head: &AnswerHead, id: &str) -> Result<(), AttemptError> {
    // Without an id it may be a late copy of an earlier answer, also a refusal.
    if head.request.as_deref() != Some(id) || !FINAL_STATUSES.contains(&status.as_u16()) {
        return Err(AttemptError::Garbled);
    }
    if head.not_run {
        let misdirected = status == StatusCode::MISDIRECTED_REQUEST;
        return Err(if misdirected { AttemptError::Misdirected } else { AttemptError::Shed });
    }
    if head.encoded || !head.signed {
        return Err(AttemptError::Garbled);
    }
    Ok(())
}

impl Reply {
    /// Reads the body to its end for `client`, once there is memory for it. The connection can be
    /// reused then. Records in `trace` how it ended.
    ///
    /// # Errors
    /// Fails when the body is cut off, too large, or not complete by the deadline.
    pub async fn read_full(
        self,
        deadline: Instant,
        client: &Arc<Client>,
        trace: &mut RequestTrace,
    ) -> Result<(Response<Bytes>, AnswerHead, Connection, Option<InFlight>), AttemptError> {
        let budget = client.intake.budget(Listener::Callers);
        let until = deadline.into_std();
        let body = read_body(self.body, client, budget, 0, MAX_BODY_BYTES, until);
        let body = timeout_at(deadline, body).await.map_err(|_| AttemptError::TimedOut)?;
        trace.body_end = Some(match &body {
            Ok(_) => BodyEnd::Complete,
            Err(ReadError::Broken(e)) => BodyEnd::of_error(e),
            Err(ReadError::TooLong | ReadError::NoMemory) => BodyEnd::Failed,
        });
        let body = body.map_err(|it| match it {
            // This router had no memory for it until the deadline.
            ReadError::NoMemory => AttemptError::TimedOut,
            ReadError::TooLong | ReadError::Broken(_) => AttemptError::Lost,
        })?;
        let response = Response::from_parts(self.parts, body);
        Ok((response, self.head, self.connection, self.in_flight))
    }
}
