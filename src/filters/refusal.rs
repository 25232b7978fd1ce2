//! Errors of the request path.

use std::time::Duration;

use bytes::Bytes;
use warp::http::{HeaderValue, Response, StatusCode};

use crate::decide::Verdict;
use crate::events::Code;
use crate::filters::{REQUEST_HEADER, VERDICT_HEADER};
use crate::wire::{ApiError, ApiErrorBody};

key! {
    /// Why a request has no complete answer.
    pub enum Reason {
        /// The request is malformed.
        BadRequest,
        /// The request is larger than allowed.
        TooLarge,
        /// The caller sent the request too slowly.
        SlowCaller,
        /// The path or method is unknown.
        UnknownCall,
        /// The model or service is not in force.
        UnknownTarget,
        /// The token is missing or wrong.
        Unauthorised,
        /// The router has no state in force.
        NotReady,
        /// No backend server takes the request.
        NoRoom,
        /// No engine holds the model or adapter.
        NotLoaded,
        /// The organisation is above its rate limit.
        RateExceeded,
        /// The backend server failed.
        BackendFailed,
        /// The deadline passed.
        DeadlinePassed,
        /// The idempotency key is forged or belongs to another organisation.
        KeyRefused,
        /// The idempotency key was used for another call.
        KeyReused,
        /// The idempotency key is too old.
        KeyExpired,
        /// The same call is already running.
        InProgress,
        /// The call may have run, and its outcome is not known.
        OutcomeUnknown,
        /// The idempotency key cannot be claimed at present.
        ClaimsUnavailable,
        /// The request is known to crash backend servers.
        Suspect,
    }
}

impl Reason {
    /// The name in error bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Reason::BadRequest => "bad_request",
            Reason::TooLarge => "too_large",
            Reason::SlowCaller => "slow_caller",
            Reason::UnknownCall => "unknown_call",
            Reason::UnknownTarget => "unknown_target",
            Reason::Unauthorised => "unauthorised",
            Reason::NotReady => "not_ready",
            Reason::NoRoom => "no_room",
            Reason::NotLoaded => "not_loaded",
            Reason::RateExceeded => "rate_exceeded",
            Reason::BackendFailed => "backend_failed",
            Reason::DeadlinePassed => "deadline_passed",
            Reason::KeyRefused => "key_refused",
            Reason::KeyReused => "key_reused",
            Reason::KeyExpired => "key_expired",
            Reason::InProgress => "in_progress",
            Reason::OutcomeUnknown => "outcome_unknown",
            Reason::ClaimsUnavailable => "claims_unavailable",
            Reason::Suspect => "suspect",
        }
    }

    /// Status code of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Reason::BadRequest => StatusCode::BAD_REQUEST,
            Reason::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Reason::SlowCaller => StatusCode::REQUEST_TIMEOUT,
            Reason::UnknownCall | Reason::UnknownTarget => StatusCode::NOT_FOUND,
            Reason::Unauthorised => StatusCode::UNAUTHORIZED,
            Reason::NotReady | Reason::NoRoom | Reason::NotLoaded => {
                StatusCode::SERVICE_UNAVAILABLE
            }
            Reason::RateExceeded => StatusCode::TOO_MANY_REQUESTS,
            Reason::BackendFailed => StatusCode::BAD_GATEWAY,
            Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
            Reason::KeyRefused => StatusCode::FORBIDDEN,
            Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
            Reason::KeyExpired => StatusCode::GONE,
            Reason::InProgress => StatusCode::CONFLICT,
            Reason::OutcomeUnknown => StatusCode::BAD_GATEWAY,
            Reason::ClaimsUnavailable | Reason::Suspect => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// The code of the event that records this reason.
    pub fn code(self) -> Code {
        match self {
            Reason::BadRequest | Reason::SlowCaller => Code::BadRequest,
            Reason::TooLarge => Code::TooLarge,
            Reason::UnknownCall => Code::UnknownCall,
            Reason::UnknownTarget => Code::UnknownTarget,
            Reason::Unauthorised => Code::Unauthorised,
            Reason::NotReady => Code::NotReady,
            Reason::NoRoom => Code::NoRoom,
            Reason::NotLoaded => Code::NotLoaded,
            Reason::RateExceeded => Code::RateExceeded,
            Reason::BackendFailed => Code::BackendFailed,
            Reason::DeadlinePassed => Code::DeadlinePassed,
            Reason::KeyRefused => Code::KeyRefused,
            Reason::KeyReused => Code::KeyReused,
            Reason::KeyExpired => Code::KeyExpired,
            Reason::InProgress => Code::InProgress,
            Reason::OutcomeUnknown => Code::OutcomeUnknown,
            Reason::ClaimsUnavailable => Code::ClaimsUnavailable,
            Reason::Suspect => Code::SuspectRefused,
        }
    }
}

plain! {
    /// The refusal or failure of a request, as reported to its caller.
    pub struct Refusal {
        /// Why.
        pub reason: Reason,
        /// Whether it may have run.
        pub verdict: Verdict,
        /// Details for humans.
        pub message: String,
        /// Time after which the caller should retry.
        pub retry: Option<Duration>,
    }
}

impl Refusal {
    /// A refusal of a request that did not run.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { reason, verdict: Verdict::NotRun, message: message.into(), retry: None }
    }

    /// A refusal of a request that may have run.
    pub fn may_have_run(reason: Reason, message: impl Into<String>) -> Refusal {
        Refusal { reason, verdict: Verdict::MayHaveRun, message: message.into(), retry: None }
    }

    /// Sets the time after which the caller should retry.
    pub fn retry_after(mut self, time: Duration) -> Refusal {
        self.retry = Some(time);
        self
    }

    /// The error body.
    pub fn body(&self, request: &str) -> ApiErrorBody {
        ApiErrorBody {
            error: ApiError {
                message: self.message.clone(),
                reason: self.reason.as_str().to_owned(),
                verdict: self.verdict.as_str().to_owned(),
                event: self.reason.code().number(),
                request: request.to_owned(),
                retry_ms: self.retry.map(|it| it.as_millis() as u64),
            },
        }
    }

    /// The HTTP answer.
    pub fn reply(&self, request: &str) -> Response<Bytes> {
        let body = serde_json::to_vec(&self.body(request)).unwrap_or_default();
        let mut reply = Response::new(Bytes::from(body));
        *reply.status_mut() = self.reason.status();
        let headers = reply.headers_mut();
        headers.insert("content-type", HeaderValue::from_static("application/json"));
        headers.insert(VERDICT_HEADER, HeaderValue::from_static(self.verdict.as_str()));
        if let Ok(id) = HeaderValue::from_str(request) {
            headers.insert(REQUEST_HEADER, id);
        }
        if let Some(time) = self.retry {
            let seconds = time.as_millis().div_ceil(1_000) as u64;
            headers.insert("retry-after", HeaderValue::from(seconds));
        }
        reply
    }
}
