//! How a backend server treats requests.

/// What a [`ServerStandin`](crate::platform::ServerStandin) does with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServerBehaviour {
    /// Runs it and answers.
    Good,
    /// Runs it and answers with status 500.
    ServerError,
    /// Does not run it and says so.
    Shed,
    /// Runs it and closes the connection without an answer.
    LoseAnswer,
    /// Runs it and never answers.
    Hang,
    /// Ends a stream after so many events, in the middle of the next.
    BreakAfter(u32),
    /// Falls silent in a stream after so many events.
    StallAfter(u32),
    /// Swallows requests on connections that have carried one before.
    SilentWhenReused,
    /// Sends a second answer after the first.
    ExtraAnswer,
    /// Answers with the id of another request.
    WrongId,
    /// Answers without a signature.
    Unsigned,
    /// Answers with a body that is said to be encoded.
    Encoded,
    /// Answers without a length; the end of the connection ends the body.
    Unframed,
    /// Says a longer body than it sends.
    ShortBody,
    /// Sends bytes that are no answer.
    Garbage,
    /// Dies: the port closes with all connections.
    Crash,
}
