//! The final event of each request.

use std::sync::Arc;

use warp::reply::Response;

use crate::decide::Verdict;
use crate::events::{Code, Fields};
use crate::filters::{Refusal, Shared, VERDICT_HEADER};

/// Ensures that a request has exactly one final event and is counted once. A
/// request dropped before its end counts as one whose caller left.
#[derive(Debug)]
pub(crate) struct FinalEvent {
    shared: Arc<Shared>,
    request: String,
    kind: &'static str,
    is_open: bool,
}

/// Extension of an answer that was made from a refusal.
#[derive(Debug, Clone)]
pub(crate) struct Refused(pub(crate) Refusal);

/// Extension of a streamed answer, whose stream records the final event itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct StreamedAnswer;

impl FinalEvent {
    /// The final event of `request`, a call of `kind`, not yet recorded.
    pub(crate) fn new(shared: &Arc<Shared>, request: &str, kind: &'static str) -> FinalEvent {
        FinalEvent { shared: Arc::clone(shared), request: request.to_owned(), kind, is_open: true }
    }

    /// Records that the request was answered completely.
    pub(crate) fn done(&mut self, detail: &str) {
        self.end(Code::RequestDone, Verdict::Ran, detail);
    }

    /// Records the end of a request by its answer, which may be an error written by
    /// another router.
    pub(crate) fn answered(&mut self, reply: &Response, detail: &str) {
        if let Some(Refused(refusal)) = reply.extensions().get() {
            return self.refused(refusal);
        }
        let text = reply.headers().get(VERDICT_HEADER).map_or(&[][..], |it| it.as_bytes());
        let is = |it: &Verdict| it.as_str().as_bytes() == text;
        match [Verdict::NotRun, Verdict::MayHaveRun].into_iter().find(is) {
            Some(verdict) => self.end(Code::RequestRefused, verdict, detail),
            None => self.done(detail),
        }
    }

    /// Records that the request was refused.
    pub(crate) fn refused(&mut self, refusal: &Refusal) {
        self.end(refusal.reason.code(), refusal.verdict, &refusal.message);
    }

    /// Records that the stream ended with an error.
    pub(crate) fn cut(&mut self, fault: &str) {
        self.end(Code::StreamCut, Verdict::MayHaveRun, fault);
    }

    /// Leaves the final event to the stream of the answer.
    pub(crate) fn hand_over(mut self) {
        self.is_open = false;
    }

    fn end(&mut self, code: Code, verdict: Verdict, detail: &str) {
        if !std::mem::replace(&mut self.is_open, false) {
            return;
        }
        let requests = &self.shared.counters.requests;
        requests.with_label_values(&[self.kind, verdict.as_str()]).inc();
        let text;
        let detail = match code {
            Code::RequestDone => detail,
            _ => {
                text = format!("{verdict}: {detail}");
                &text
            }
        };
        self.shared.events.record(code, Fields { subject: &self.request, detail });
    }
}

impl Drop for FinalEvent {
    fn drop(&mut self) {
        self.end(Code::CallerLeft, Verdict::MayHaveRun, "the caller left before the end");
    }
}
