//! Failed calls to the platform, engines' control side and other routers.

use std::fmt;

plain! {
    /// Why a call failed.
    pub enum PlatformError {
        /// No answer, or one that ended early; the call may have taken effect.
        NoAnswer {
            /// What the transport says.
            fault: String,
        },
        /// An answer other than success.
        Status {
            /// Status code.
            status: u16,
            /// Body, cut short.
            body: String,
        },
        /// An answer that could not be read.
        Malformed {
            /// What is wrong with it.
            fault: String,
        },
    }
}

impl fmt::Display for PlatformError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PlatformError::NoAnswer { fault } => write!(f, "no answer: {fault}"),
            PlatformError::Status { status, body } => write!(f, "status {status}: {body}"),
            PlatformError::Malformed { fault } => write!(f, "unreadable answer: {fault}"),
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
