//! How the body of an answer ended.

use std::error::Error;
use std::io::{self, ErrorKind};

use crate::relay::{EventFramer, Framing};

key! {
    /// The end of a body, as seen on the connection to the backend server.
    pub enum BodyEnd {
        /// It ended as its framing demands; events are whole.
        Complete,
        /// It ended as its framing demands, but inside an event.
        InsideEvent,
        /// It ended with its connection, which brought no event.
        NoEvent,
        /// The connection was closed before the end that the framing demands.
        Short,
        /// The connection was reset.
        Reset,
        /// The connection failed in another way, or the body was too large.
        Failed,
    }
}

impl BodyEnd {
    /// The end of a stream of events that ended as `framing` demands, without an error.
    ///
    /// A server that breaks off may close its connection in order. Where that is also how a
    /// complete stream ends, whole events are the only sign that nothing is missing.
    pub fn of_events(framing: Framing, events: &EventFramer) -> BodyEnd {
        if !events.is_at_boundary() {
            BodyEnd::InsideEvent
        } else if framing == Framing::Close && !events.has_event() {
            BodyEnd::NoEvent
        } else {
            BodyEnd::Complete
        }
    }

    /// The end that an error of a body means.
    pub fn of_error(error: &(dyn Error + 'static)) -> BodyEnd {
        let mut cause = Some(error);
        while let Some(e) = cause {
            if let Some(e) = e.downcast_ref::<io::Error>() {
                return match e.kind() {
                    ErrorKind::ConnectionReset | ErrorKind::BrokenPipe => BodyEnd::Reset,
                    ErrorKind::UnexpectedEof => BodyEnd::Short,
                    _ => BodyEnd::Failed,
                };
            }
            if e.downcast_ref::<hyper::Error>().is_some_and(hyper::Error::is_incomplete_message) {
                return BodyEnd::Short;
            }
            cause = e.source();
        }
        BodyEnd::Failed
    }

    /// Name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            BodyEnd::Complete => "complete",
            BodyEnd::InsideEvent => "inside_event",
            BodyEnd::NoEvent => "no_event",
            BodyEnd::Short => "short",
            BodyEnd::Reset => "reset",
            BodyEnd::Failed => "failed",
        }
    }
}
