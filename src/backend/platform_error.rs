//! Errors of requests to the platform, to the control interface of engines and to other
//! routers.

use std::fmt;

plain! {
    /// Why a request failed.
    pub enum PlatformError {
        /// No response, or an incomplete one; the request may have taken effect.
        NoAnswer {
            /// Error of the HTTP client.
            fault: String,
        },
        /// A response with a status other than success.
        Status {
            /// Status code.
            status: u16,
            /// Start of the body.
            body: String,
        },
        /// A malformed response.
        Malformed {
            /// Error of the decoder.
            fault: String,
        },
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::NoAnswer { fault } => write!(f, "no response: {fault}"),
            PlatformError::Status { status, body } => write!(f, "status {status}: {body}"),
            PlatformError::Malformed { fault } => write!(f, "malformed response: {fault}"),
        }
    }
}

impl std::error::Error for PlatformError {}

impl From<reqwest::Error> for PlatformError {
    fn from(error: reqwest::Error) -> PlatformError {
        let fault = error_text(&error);
        if error.is_decode() {
            PlatformError::Malformed { fault }
        } else {
            PlatformError::NoAnswer { fault }
        }
    }
}

/// The text of an error and of all its causes.
pub(crate) fn error_text(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(it) = source {
        text = format!("{text}: {it}");
        source = it.source();
    }
    text
}
