//! How requests end.

use crate::events::Code;

key! {
    /// How a request ended.
    pub enum Outcome {
        /// The caller has the complete answer of a backend server.
        Done,
        /// The router answered that the request did not run.
        Refused,
        /// The router answered that the request may have run.
        Failed,
        /// The answer was cut off after its head.
        Cut,
        /// The caller disconnected before the end.
        Left,
    }
}

impl Outcome {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Cut => "cut",
            Outcome::Left => "caller_left",
        }
    }

    /// The code of its event.
    pub fn code(self) -> Code {
        match self {
            Outcome::Done => Code::RequestDone,
            Outcome::Refused => Code::RequestRefused,
            Outcome::Failed => Code::BackendFailed,
            Outcome::Cut => Code::StreamCut,
            Outcome::Left => Code::CallerLeft,
        }
    }
}
