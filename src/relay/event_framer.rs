//! Splits a server-sent event stream (`text/event-stream`) at event boundaries.

use bytes::{Bytes, BytesMut};

/// Limit on the size of one event; real ones are far smaller.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Bytes of the longest boundary between two events.
const BOUNDARY_BYTES: usize = b"\r\n\r\n".len();

/// Splits a stream into complete events and remembers the last event id.
#[derive(Debug, Default)]
pub struct EventFramer {
    /// The bytes received so far of an event that is not complete yet.
    partial: BytesMut,
    /// Whether an event was complete since the stream began or resumed.
    has_event: bool,
    last_id: Option<String>,
}

impl EventFramer {
    /// A framer for a stream that resumes after the event with id `last_id`.
    pub fn after(last_id: Option<String>) -> EventFramer {
        EventFramer { last_id, ..EventFramer::default() }
    }

    /// Adds received bytes and returns the bytes of all events that are complete now,
    /// possibly none. Returns `None` when no event is complete and the incomplete one
    /// exceeds `MAX_EVENT_BYTES`.
    pub fn push(&mut self, bytes: Bytes) -> Option<Bytes> {
        let complete = self.take_complete(bytes);
        if complete.is_empty() {
            return (self.partial.len() <= MAX_EVENT_BYTES).then_some(complete);
        }
        self.has_event = true;
        if let Some(id) = find_last_id(&complete) {
            self.last_id = Some(id);
        }
        Some(complete)
    }

    /// Adds received bytes and removes the events that are complete. Bytes are copied only
    /// where an event arrives in pieces.
    fn take_complete(&mut self, mut bytes: Bytes) -> Bytes {
        if self.partial.is_empty() {
            let complete = bytes.split_to(last_boundary(&bytes));
            self.partial.extend_from_slice(&bytes);
            return complete;
        }
        // No boundary ends before the last bytes of the incomplete event.
        let searched = self.partial.len().saturating_sub(BOUNDARY_BYTES - 1);
        self.partial.extend_from_slice(&bytes);
        match last_boundary(&self.partial[searched..]) {
            0 => Bytes::new(),
            end => self.partial.split_to(searched + end).freeze(),
        }
    }

    /// Discards an incomplete event, before the stream resumes at another server.
    pub fn resume(&mut self) {
        self.partial.clear();
        self.has_event = false;
    }

    /// Whether an event was complete since the stream began or resumed.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Whether no event is incomplete.
    pub fn is_at_boundary(&self) -> bool {
        self.partial.is_empty()
    }

    /// The last event id seen in a complete event, or the one given at creation.
    pub fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }
}

/// Position after the last blank line, 0 without one.
fn last_boundary(bytes: &[u8]) -> usize {
    if bytes.ends_with(b"\n\n") {
        return bytes.len();
    }
    let lf = rfind(bytes, b"\n\n").map(|at| at + 2);
    let crlf = rfind(bytes, b"\r\n\r\n").map(|at| at + 4);
    lf.max(crlf).unwrap_or(0)
}

fn rfind(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).rposition(|it| it == pattern)
}

fn find_last_id(bytes: &[u8]) -> Option<String> {
    let lines = bytes.split(|byte| *byte == b'\n').rev();
    let id = lines.filter_map(|line| line.strip_prefix(b"id:")).next()?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
