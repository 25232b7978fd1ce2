//! Chat requests.

use std::sync::Arc;

use bytes::Bytes;
use warp::Reply;
use warp::http::{HeaderValue, StatusCode};
use warp::reply::Response;

use crate::decide::{FailurePoint, Verdict, combine, hash_bytes};
use crate::filters::admit::priority;
use crate::filters::answer::mark;
use crate::filters::cancel::Cancel;
use crate::filters::failure::Failure;
use crate::filters::forward::{Chosen, Payload, Plan, forward, time_remaining};
use crate::filters::hint::read_hint;
use crate::filters::leaving::record_leaving;
use crate::filters::reply::read_complete;
use crate::filters::stream::{StreamSource, stream_answer};
use crate::filters::suspect::{CrashCandidate, CrashWatch, fingerprint};
use crate::filters::{Call, DEADLINE_HEADER, HINT_HEADER, Reason, Refusal, Shared, Target};
use crate::keys::write_hint;
use crate::wire::ChatAnswer;

/// Answers `POST /v1/chat/completions`.
pub(crate) async fn chat(shared: &Arc<Shared>, mut call: Call) -> Result<Response, Refusal> {
    let Some(mut request) = call.request.take() else {
        return Err(Refusal::not_run(Reason::BadRequest, "the body is missing"));
    };
    let Target::Model { pool, name } = call.target.clone() else {
        return Err(Refusal::not_run(Reason::UnknownTarget, "the request names no model"));
    };
    request.model = name;
    let fingerprint = fingerprint(&request);
    let plan = Plan {
        key: combine(call.chat, hash_bytes(request.model.as_bytes())),
        hint: read_hint(shared, &call),
        cost: request.cost(),
        idempotent: true,
        fingerprint: Some(fingerprint),
        is_isolated: false,
    };
    request.rest.insert("priority".to_owned(), priority(shared, &call, plan.cost).into());
    let body = serde_json::to_vec(&request)
        .map_err(|e| Refusal::not_run(Reason::BadRequest, e.to_string()))?;
    let payload = ChatPayload { body: Bytes::from(body), stream: request.stream, fingerprint };
    let result = forward(shared, &call, &pool, &plan, Payload::Chat(&payload)).await;
    if !payload.stream || result.is_err() {
        let verdict = result.as_ref().map_or_else(|it| it.verdict, |_| Verdict::Ran);
        shared.counters.count_arms(&call.arms, verdict);
    }
    result
}

/// A chat request as sent to engines.
pub(crate) struct ChatPayload {
    body: Bytes,
    stream: bool,
    /// Fingerprint of the model and messages.
    fingerprint: u64,
}

impl ChatPayload {
    /// Whether the answer is a stream of tokens.
    pub(crate) fn is_streamed(&self) -> bool {
        self.stream
    }
}

/// Sends the request to the chosen engine and returns its answer.
pub(crate) async fn send_chat(
    shared: &Arc<Shared>,
    call: &Call,
    payload: &ChatPayload,
    chosen: Chosen,
) -> Result<Response, Failure> {
    let remaining = time_remaining(shared, call)?;
    let address = chosen.server.address;
    let mut cancel = Cancel::new(&shared.http, address, &call.id);
    let sent = shared
        .http
        .post(format!("http://{address}/v1/chat/completions"))
        .timeout(remaining)
        .header("content-type", "application/json")
        .header("x-request-id", &call.id)
        .header(DEADLINE_HEADER, remaining.as_millis() as u64)
        .body(payload.body.clone())
        .send();
    let response = sent.await;
    if let Ok(it) = &response {
        record_leaving(shared, &chosen, it.headers());
    }
    let reply = match response {
        Ok(it) if it.status() == StatusCode::OK => it,
        Ok(it) => {
            cancel.disarm();
            return Err(engine_failure(it.status()));
        }
        Err(e) => {
            let failure = Failure::of_send(&e);
            if !failure.point.reached_server() {
                cancel.disarm();
            }
            return Err(failure);
        }
    };
    let hint = write_hint(&shared.keys, call.chat, chosen.engine.id, chosen.engine.incarnation);
    let mut answer = if payload.stream {
        let source = StreamSource {
            request: call.id.clone(),
            arms: call.arms.clone(),
            address,
            began: call.began,
            deadline: call.deadline,
            next_index: 0,
            crash_watch: CrashWatch::new(
                shared,
                CrashCandidate::new(shared, payload.fingerprint, &chosen),
            ),
            _running_suspect: chosen.running_suspect.clone(),
        };
        stream_answer(shared, reply, source, Some(chosen.work), cancel)
    } else {
        let answer = complete_answer(shared, call, reply).await?;
        cancel.disarm();
        answer
    };
    if let Ok(hint) = HeaderValue::from_str(&hint) {
        answer.headers_mut().insert(HINT_HEADER, hint);
    }
    Ok(answer)
}

/// The failure that an engine's error status stands for. Engines answer 404, 429
/// and 503 only before they begin to run the request.
fn engine_failure(status: StatusCode) -> Failure {
    let message = format!("the engine answered {status}");
    match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS | StatusCode::NOT_FOUND => {
            Failure::new(FailurePoint::Refused, message)
        }
        _ if status.is_client_error() => Failure::new(FailurePoint::Rejected, message),
        _ => Failure::new(FailurePoint::Failed, message),
    }
}

/// Reads a complete answer and checks that it belongs to the request.
async fn complete_answer(
    shared: &Shared,
    call: &Call,
    reply: reqwest::Response,
) -> Result<Response, Failure> {
    let body = read_complete(reply, shared.settings.limits.answer.as_u64()).await?;
    let answer = ChatAnswer::parse(&body).map_err(|e| {
        Failure::new(FailurePoint::Mismatch, format!("the answer is malformed: {e}"))
    })?;
    if answer.id != call.id {
        let message = "the engine answered another request";
        return Err(Failure::new(FailurePoint::Mismatch, message));
    }
    if answer.choices.is_empty() {
        let message = "the answer has no choices";
        return Err(Failure::new(FailurePoint::Mismatch, message));
    }
    shared.counters.count_usage(&call.arms, &answer.usage);
    let mut answer = warp::http::Response::new(body).into_response();
    answer.headers_mut().insert("content-type", HeaderValue::from_static("application/json"));
    mark(&mut answer, &call.id, Verdict::Ran);
    Ok(answer)
}
