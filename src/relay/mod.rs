//! Relays requests unchanged: from the caller's connection over the selection of a
//! backend server to the last byte of the answer.
//!
//! A [`Codec`] translates the heads of requests and answers, so that this module does
//! not depend on the names of headers.

mod active_request;
mod answer;
mod answer_body;
mod attempt;
mod attempt_error;
mod attempt_loop;
mod body;
mod body_end;
mod brittle_services;
mod by_service;
mod choose;
mod codec;
mod cold_servers;
mod connection;
mod connection_context;
mod connection_pool;
mod evacuation;
mod event_framer;
mod exchange;
mod forward;
mod forwarder;
mod framing;
mod headers;
mod health_check;
mod limits;
mod named_limits;
mod origin_query;
mod origins;
mod outcome;
mod part_trial;
mod pending_request;
mod prefix_holders;
mod reach;
mod read_budget;
mod refusal;
mod relay;
mod request_log;
mod request_meta;
mod request_trace;
mod retry_budgets;
mod room_state;
mod stated_load;
mod statements;
mod stream;
mod stream_origins;
mod suspect;
mod suspect_parts;
mod tcp_info;
mod token_budget;
mod tracked_stream;
mod wait_for_room;
mod wait_trace;
mod watched_stream;

pub use answer::{
    AnswerHead, ServerStatements, StatedBrittle, StatedCold, StatedDelay, StatedLeaving,
    StatedLimit, StatedLoad, StatedPace,
};
pub use attempt_error::AttemptError;
pub use body::{RelayBody, RelayError, full_body};
pub use body_end::BodyEnd;
pub use codec::{Codec, OutgoingMeta};
pub use connection::{ConnectError, Connection};
pub use connection_context::{ConnectionContext, serve_connections};
pub use connection_pool::ConnectionPool;
pub use event_framer::EventFramer;
pub(crate) use forward::FORWARDED;
pub use forwarder::Forwarder;
pub use framing::Framing;
pub use headers::{drop_hop_headers, may_be_events};
pub(crate) use health_check::confirm_server;
pub use limits::RelayLimits;
pub(crate) use origin_query::MAX_WAITING_QUERIES;
pub use origin_query::{FoundOrigin, OriginQuery, OriginReply};
pub use outcome::Outcome;
pub use prefix_holders::PrefixHolders;
pub use refusal::Refusal;
pub use relay::{Relay, Sender};
pub use request_log::RequestLog;
pub use request_meta::{PromptPart, RequestMeta, RequestMetaError};
pub use retry_budgets::RetryBudgets;
pub use stream_origins::{StreamOrigin, StreamOrigins};
