//! Requests that are passed on unchanged: from the caller's connection over
//! the choice of a backend server to the last byte of the answer.
//!
//! How requests and answers look on the wire is told by a [`Codec`], so that
//! the decisions here hold for any naming.

mod answer;
mod ask;
mod body;
mod busy;
mod by_service;
mod choose;
mod codec;
mod conclusions;
mod connection;
mod exchange;
mod failed;
mod front;
mod headers;
mod job;
mod journal;
mod limits;
mod outcome;
mod prefix_homes;
mod refusal;
mod relay;
mod retries;
mod sse;
mod stream;
mod suspect;
mod trail;
mod tries;
mod upstream;

pub use answer::AnswerHead;
pub use ask::{Ask, AskError, Part};
pub use body::{RelayBody, RelayError, whole};
pub use codec::{Codec, Outgoing};
pub use connection::{ConnectError, Connection};
pub use failed::Failed;
pub use front::{Front, serve_connections};
pub use headers::drop_hop_headers;
pub use journal::Journal;
pub use limits::RelayLimits;
pub use outcome::Outcome;
pub use prefix_homes::PrefixHomes;
pub use refusal::Refusal;
pub use relay::Relay;
pub use retries::Retries;
pub use sse::Frames;
pub use upstream::Upstream;
