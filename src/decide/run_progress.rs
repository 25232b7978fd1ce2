//! How far a backend server's answer had come when its connection ended.

use std::time::Duration;

/// A server that has written for this long did not crash because it began to write.
const BEGIN_TIME: Duration = Duration::from_millis(1_000);

key! {
    /// Progress of the answer to a request that was cut off.
    pub enum RunProgress {
        /// No byte of it had arrived; the request may have waited.
        Unanswered,
        /// It had begun, and no event of it was complete.
        Begun,
        /// Its first events had arrived, shortly after it began.
        Writing,
        /// Its events had been arriving for a while.
        Established,
    }
}

impl RunProgress {
    /// The progress of an answer that began `age` ago and brought an event or not.
    pub fn of_answer(age: Duration, has_event: bool) -> RunProgress {
        match has_event {
            false => RunProgress::Begun,
            true if age < BEGIN_TIME => RunProgress::Writing,
            true => RunProgress::Established,
        }
    }

    /// How strongly a crash at this moment speaks against the request: one at the begin of
    /// an answer is most likely due to this very answer, a request without an answer may
    /// have waited.
    pub fn points(self) -> u8 {
        match self {
            RunProgress::Begun => 2,
            RunProgress::Unanswered | RunProgress::Writing => 1,
            RunProgress::Established => 0,
        }
    }

    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            RunProgress::Unanswered => "unanswered",
            RunProgress::Begun => "begun",
            RunProgress::Writing => "writing",
            RunProgress::Established => "established",
        }
    }
}
