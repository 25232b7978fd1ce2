//! Error answers of the router itself.

use std::time::Duration;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};

use crate::decide::Verdict;
use crate::relay::{RelayBody, full_body};

key! {
    /// Why a request gets no answer from a backend server.
    pub enum Refusal {
        /// The head cannot be read.
        Malformed,
        /// The head exceeds its size limit.
        HeadTooLarge,
        /// The body exceeds its size limit.
        TooLarge,
        /// The key belongs to no organisation.
        NoOrganisation,
        /// No route matches the host and path.
        NoRoute,
        /// The rules are not known, or not confirmed recently enough.
        NoRules,
        /// The router is shutting down.
        Leaving,
        /// No backend server is available.
        NoServer,
        /// All backend servers are in failure domains that operators have evacuated.
        Evacuated,
        /// No backend server has the software version that began the stream.
        NoVersion,
        /// It takes a stream up, and no router knows the software version that began it.
        UnknownOrigin,
        /// All backend servers are at capacity.
        NoRoom,
        /// The router has no memory for its body.
        NoMemory,
        /// Its prompt exceeds the memory of every backend server.
        ExceedsMemory,
        /// Backend servers that ran it crashed.
        Crashes,
        /// Backend servers crashed that ran requests with a part of its prompt.
        PartCrashes,
        /// Attempts at backend servers failed; it may have run.
        ServerFailed,
        /// Its deadline passed; it may have run.
        TimedOut,
        /// Its deadline passed and it did not run.
        TooLate,
        /// A backend server shed it, and it cannot be retried.
        Shed,
    }
}

impl Refusal {
    /// All refusals.
    pub const ALL: &[Refusal] = &[
        Refusal::Malformed,
        Refusal::HeadTooLarge,
        Refusal::TooLarge,
        Refusal::NoOrganisation,
        Refusal::NoRoute,
        Refusal::NoRules,
        Refusal::Leaving,
        Refusal::NoServer,
        Refusal::Evacuated,
        Refusal::NoVersion,
        Refusal::UnknownOrigin,
        Refusal::NoRoom,
        Refusal::NoMemory,
        Refusal::ExceedsMemory,
        Refusal::Crashes,
        Refusal::PartCrashes,
        Refusal::ServerFailed,
        Refusal::TimedOut,
        Refusal::TooLate,
        Refusal::Shed,
    ];

    /// Whether the reason lies with the router, so that another one may serve a request that the
    /// rules allow: it reaches no server, is about to end, or has no rules or older ones.
    pub fn is_of_router(self) -> bool {
        matches!(
            self,
            Refusal::NoRules
                | Refusal::NoRoute
                | Refusal::NoOrganisation
                | Refusal::Leaving
                | Refusal::NoServer
                | Refusal::NoMemory
        )
    }

    /// Status of the answer. 503 guarantees that the request did not run.
    pub fn status(self) -> StatusCode {
        match self {
            Refusal::Malformed => StatusCode::BAD_REQUEST,
            Refusal::HeadTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Refusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Refusal::NoOrganisation => StatusCode::UNAUTHORIZED,
            Refusal::NoRoute => StatusCode::NOT_FOUND,
            Refusal::ServerFailed => StatusCode::BAD_GATEWAY,
            Refusal::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            Refusal::NoRules
            | Refusal::Leaving
            | Refusal::NoServer
            | Refusal::Evacuated
            | Refusal::NoVersion
            | Refusal::UnknownOrigin
            | Refusal::NoRoom
            | Refusal::ExceedsMemory
            | Refusal::NoMemory
            | Refusal::Crashes
            | Refusal::PartCrashes
            | Refusal::TooLate
            | Refusal::Shed => StatusCode::SERVICE_UNAVAILABLE,
        }
    }

    /// Whether the request may have run.
    pub fn verdict(self) -> Verdict {
        match self {
            Refusal::ServerFailed | Refusal::TimedOut => Verdict::MayHaveRun,
            _ => Verdict::NotRun,
        }
    }

    /// Time after which the caller should retry; by then the cause has likely passed.
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            // Another router can most likely serve it.
            Refusal::NoRules | Refusal::Leaving => Some(Duration::from_millis(100)),
            // A server that crashed may start again with its version.
            Refusal::NoServer | Refusal::NoVersion => Some(Duration::from_millis(500)),
            Refusal::NoRoom | Refusal::NoMemory | Refusal::Shed | Refusal::UnknownOrigin => {
                Some(Duration::from_millis(300))
            }
            // Operators take a domain back by hand.
            Refusal::Evacuated => Some(Duration::from_secs(1)),
            Refusal::Crashes | Refusal::PartCrashes => Some(Duration::from_secs(10)),
            _ => None,
        }
    }

    /// Name in logs and answer bodies.
    pub fn as_str(self) -> &'static str {
        match self {
            Refusal::Malformed => "malformed",
            Refusal::HeadTooLarge => "head_too_large",
            Refusal::TooLarge => "too_large",
            Refusal::NoOrganisation => "no_organisation",
            Refusal::NoRoute => "no_route",
            Refusal::NoRules => "no_rules",
            Refusal::Leaving => "leaving",
            Refusal::NoServer => "no_server",
            Refusal::Evacuated => "evacuated",
            Refusal::NoVersion => "no_version",
            Refusal::UnknownOrigin => "unknown_origin",
            Refusal::NoRoom => "no_room",
            Refusal::NoMemory => "no_memory",
            Refusal::ExceedsMemory => "exceeds_memory",
            Refusal::Crashes => "crashes",
            Refusal::PartCrashes => "part_crashes",
            Refusal::ServerFailed => "server_failed",
            Refusal::TimedOut => "timed_out",
            Refusal::TooLate => "too_late",
            Refusal::Shed => "shed",
        }
    }

    /// The answer to the caller; `retry_after` overrides the general time.
    pub fn response(self, retry_after: Option<Duration>) -> Response<RelayBody> {
        let verdict = self.verdict().as_str();
        let text = format!("{{\"error\":\"{}\",\"verdict\":\"{verdict}\"}}", self.as_str());
        let mut response = Response::new(full_body(text));
        *response.status_mut() = self.status();
        let headers = response.headers_mut();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(time) = retry_after.or(self.retry_after()) {
            let text = format!("{:.3}", time.as_secs_f64());
            let value = HeaderValue::from_str(&text).expect("digits are a valid header");
            headers.insert(RETRY_AFTER, value);
        }
        response
    }
}
