//! How requests end.

use crate::events::Code;

key! {
    /// How a request ended.
    pub enum Outcome {
        /// The caller has the whole answer of a backend server.
        Done,
        /// The router answered that it did not run.
        Refused,
        /// The router answered that it may have run.
        Failed,
        /// The answer broke off after its head.
        Cut,
        /// The caller left before the end.
        Left,
    }
}

impl Outcome {
    /// Name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::Refused => "refused",
            Outcome::Failed => "failed",
            Outcome::Cut => "cut",
            Outcome::Left => "caller_left",
        }
    }

    /// The event of the catalogue.
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
