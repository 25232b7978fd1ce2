//! The body of a backend server's answer.

use std::pin::Pin;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use crate::relay::read_budget::ReadBudget;

/// A body that renews the budget of its connection with each part that arrives.
#[derive(Debug)]
pub(crate) struct AnswerBody {
    body: Incoming,
    budget: ReadBudget,
}

impl AnswerBody {
    /// The body that arrives on a connection with `budget`.
    pub fn new(body: Incoming, budget: ReadBudget) -> AnswerBody {
        AnswerBody { body, budget }
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        self.budget.begin_part();
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
