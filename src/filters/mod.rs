//! The request path: a chain of filters, then the request to a backend server.

mod admit;
mod answer;
mod attempts;
mod body;
mod call;
mod cancel;
mod chain;
mod chat;
mod choose;
mod entry;
mod excluded_servers;
mod experiment;
mod failure;
mod final_event;
mod forward;
mod hint;
mod identify;
mod in_flight;
mod leaving;
mod new_key;
mod once;
mod once_forward;
mod ready;
mod refusal;
mod reply;
mod request_id;
mod resolve;
mod resume;
mod router;
mod service;
mod service_path;
mod shared;
mod sse;
mod stream;
mod suspect;
mod trace;
mod upstream;

pub use call::{Call, Target};
pub use chain::{Chain, Filter};
pub(crate) use choose::DEFAULT_POLICY;
pub use experiment::Arm;
pub use refusal::{Reason, Refusal};
pub use router::caller_api;
pub use shared::{Counters, Shared};
pub(crate) use trace::{FIRST_ID_KEY, observe_time, stamp_time};
pub use upstream::Upstream;
pub(crate) use upstream::client_builder;

/// Header that names the organisation.
pub const ORGANISATION_HEADER: &str = "filberttiller-organisation";
/// Header that names the chat.
pub const CHAT_HEADER: &str = "filberttiller-chat";
/// Header that carries the chat hint, both ways.
pub const HINT_HEADER: &str = "filberttiller-hint";
/// Header that carries the request id in answers.
pub const REQUEST_HEADER: &str = "filberttiller-request";
/// Header that carries the verdict in answers.
pub const VERDICT_HEADER: &str = "filberttiller-verdict";
/// Header in any answer of a backend server that announces that it is leaving.
pub const STANDING_HEADER: &str = "filberttiller-standing";
/// Header that carries hybrid logical time, both ways.
pub const TIME_HEADER: &str = "filberttiller-time";
/// Header that sets the deadline, in milliseconds from now.
pub const DEADLINE_HEADER: &str = "filberttiller-deadline-ms";
/// Header that carries the idempotency key of an at-most-once call.
pub const KEY_HEADER: &str = "idempotency-key";
/// Header that marks a call forwarded by another router.
pub const FORWARDED_HEADER: &str = "filberttiller-forwarded";
/// Header with the incarnation of the router that answered an at-most-once call.
pub const OWNER_HEADER: &str = "filberttiller-owner";
