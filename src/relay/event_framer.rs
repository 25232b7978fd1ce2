//! Boundaries of events in a stream (`text/event-stream`).

use bytes::{Bytes, BytesMut};

/// Most bytes of one event.
const MAX_EVENT: usize = 1 << 20;

/// Cuts a stream into whole events and remembers the last id.
#[derive(Debug, Default)]
pub struct EventFramer {
    /// Beginning of an event that is not complete yet.
    rest: BytesMut,
    last: Option<String>,
}

impl EventFramer {
    /// EventFramer that go on after the event `last`.
    pub fn after(last: Option<String>) -> EventFramer {
        EventFramer { rest: BytesMut::new(), last }
    }

    /// Takes bytes as they arrive and returns the events that are complete.
    /// None when an event is larger than any real one.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        self.rest.extend_from_slice(bytes);
        let Some(end) = last_boundary(&self.rest) else {
            return (self.rest.len() <= MAX_EVENT).then(Bytes::new);
        };
        let whole = self.rest.split_to(end).freeze();
        if let Some(id) = last_id(&whole) {
            self.last = Some(id);
        }
        Some(whole)
    }

    /// Forgets an event that broke off, before the stream goes on elsewhere.
    pub fn drop_partial(&mut self) {
        self.rest.clear();
    }

    /// Whether the stream stands between two events.
    pub fn is_at_boundary(&self) -> bool {
        self.rest.is_empty()
    }

    /// Id of the last complete event.
    pub fn last(&self) -> Option<&str> {
        self.last.as_deref()
    }
}

/// End of the last blank line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let lf = rfind(bytes, b"\n\n").map(|at| at + 2);
    let crlf = rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf)
}

fn rfind(bytes: &[u8], what: &[u8]) -> Option<usize> {
    bytes.windows(what.len()).rposition(|it| it == what)
}

fn last_id(bytes: &[u8]) -> Option<String> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
