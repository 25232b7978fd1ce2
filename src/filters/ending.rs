//! The one final event of each request.

use std::sync::Arc;

use crate::decide::Verdict;
use crate::events::{Code, Fields};
use crate::filters::{Refusal, Shared};

/// Sees to it that a request ends in exactly one final event and is counted
/// once; a request dropped before its end is one whose caller left.
#[derive(Debug)]
pub(crate) struct Ending {
    shared: Arc<Shared>,
    request: String,
    kind: &'static str,
    open: bool,
}

/// Marks an answer whose stream carries the ending itself.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Streamed;

impl Ending {
    /// The ending of `request`, which is a call of `kind`.
    pub(crate) fn new(shared: &Arc<Shared>, request: &str, kind: &'static str) -> Ending {
        Ending { shared: Arc::clone(shared), request: request.to_owned(), kind, open: true }
    }

    /// The request was answered whole.
    pub(crate) fn done(&mut self, detail: &str) {
        self.end(Code::RequestDone, Verdict::Ran, detail);
    }

    /// The request got the answer of another router, which tells `verdict`.
    pub(crate) fn passed_on(&mut self, verdict: Verdict, detail: &str) {
        match verdict {
            Verdict::Ran => self.done(detail),
            _ => self.end(Code::RequestRefused, verdict, detail),
        }
    }

    /// The request got an error in place of an answer.
    pub(crate) fn refused(&mut self, refusal: &Refusal) {
        let detail = format!("{}: {}", refusal.verdict, refusal.message);
        self.end(refusal.reason.code(), refusal.verdict, &detail);
    }

    /// The stream was ended by an error.
    pub(crate) fn cut(&mut self, fault: &str) {
        self.end(Code::StreamCut, Verdict::MayHaveRun, fault);
    }

    /// Another ending takes over.
    pub(crate) fn hand_over(mut self) {
        self.open = false;
    }

    fn end(&mut self, code: Code, verdict: Verdict, detail: &str) {
        if !std::mem::replace(&mut self.open, false) {
            return;
        }
        let requests = &self.shared.counters.requests;
        requests.with_label_values(&[self.kind, verdict.as_str()]).inc();
        self.shared.events.record(code, Fields { subject: &self.request, detail });
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        self.end(Code::CallerLeft, Verdict::MayHaveRun, "the caller left before the end");
    }
}
