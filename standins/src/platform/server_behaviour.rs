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
    /// Answers without a length; closing the connection ends the body.
    Unframed,
    /// Sends a body that is shorter than its `content-length`.
    ShortBody,
    /// Sends bytes that are not an HTTP response.
    Garbage,
    /// Closes the port and all connections.
    Crash,
}
