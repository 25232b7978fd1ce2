//! Behaviours of a backend server, faulty ones included.

/// What a [`ServerStandin`](crate::platform::ServerStandin) does with each request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerBehaviour {
    /// Runs the request and answers.
    Good,
    /// Runs it and answers with status 500.
    ServerError,
    /// Answers 503 with the header that says that the request did not run.
    Shed,
    /// Runs it and closes the connection without an answer.
    LoseAnswer,
    /// Runs it and never answers.
    Hang,
    /// Closes a stream after this many events, in the middle of the next one.
    BreakAfter(u32),
    /// Stalls a stream after this many events.
    StallAfter(u32),
    /// Sends a byte of the next event now and then after this many events, and never all of it.
    TrickleAfter(u32),
    /// Never answers requests on a reused connection.
    SilentWhenReused,
    /// Sends the answer twice.
    ExtraAnswer,
    /// Answers with the id of another request.
    WrongId,
    /// Answers without a signature.
    Unsigned,
    /// Answers with a `content-encoding` header.
    Encoded,
    /// Answers with neither a length nor chunks; closing the connection ends the body.
    Unframed,
    /// Like `Unframed`, but closes a stream after this many events, in the middle of the next one.
    UnframedBreakAfter(u32),
    /// Like `Unframed`, but closes a stream before its first event.
    UnframedEmpty,
    /// Like `Unframed`, but resets the connection: of a stream after this many events, of
    /// any other answer in the middle of its body.
    UnframedResetAfter(u32),
    /// Like `UnframedBreakAfter`, with HTTP/1.0 in the status line.
    Http10BreakAfter(u32),
    /// Sends a body that is shorter than its `content-length`.
    ShortBody,
    /// Sends bytes that are not an HTTP response.
    Garbage,
    /// Sends a head that never ends, until the caller closes: one line.
    EndlessLine,
    /// Sends a head that never ends: ever more headers.
    EndlessHeaders,
    /// Sends interim responses (status 100) without end.
    EndlessInterim,
    /// Sends a head with neither a length nor chunks, and then bytes without end that are no
    /// events.
    EndlessBody,
    /// Like `EndlessBody`, in chunks.
    EndlessChunks,
    /// Closes the port and all connections.
    Crash,
    /// Like `Crash`, once it begins to answer a request with this part in its prompt; answers
    /// all others.
    CrashOnPart(u64),
}

impl ServerBehaviour {
    /// Whether answers have neither a length nor chunks.
    pub fn is_unframed(self) -> bool {
        matches!(
            self,
            ServerBehaviour::Unframed
                | ServerBehaviour::EndlessBody
                | ServerBehaviour::UnframedBreakAfter(_)
                | ServerBehaviour::UnframedEmpty
                | ServerBehaviour::UnframedResetAfter(_)
                | ServerBehaviour::Http10BreakAfter(_)
        )
    }

    /// What an answer without end begins with, before any head, and what it then repeats.
    pub fn endless(self) -> Option<(&'static str, &'static str)> {
        match self {
            ServerBehaviour::EndlessLine => Some(("", "0123456789abcdef")),
            ServerBehaviour::EndlessHeaders => {
                Some(("HTTP/1.1 200 OK\r\n", "x-fill: 0123456789\r\n"))
            }
            ServerBehaviour::EndlessInterim => Some(("", "HTTP/1.1 100 Continue\r\n\r\n")),
            ServerBehaviour::EndlessBody => Some(("", "0123456789abcdef")),
            ServerBehaviour::EndlessChunks => Some(("", "10\r\n0123456789abcdef\r\n")),
            _ => None,
        }
    }

    /// Number of events after which a stream breaks off in the middle of the next one.
    pub fn breaks_after(self) -> Option<u32> {
        match self {
            ServerBehaviour::BreakAfter(events)
            | ServerBehaviour::UnframedBreakAfter(events)
            | ServerBehaviour::Http10BreakAfter(events) => Some(events),
            _ => None,
        }
    }

    /// The HTTP version of answers.
    pub fn version(self) -> &'static str {
        match self {
            ServerBehaviour::Http10BreakAfter(_) => "HTTP/1.0",
            _ => "HTTP/1.1",
        }
    }
}
