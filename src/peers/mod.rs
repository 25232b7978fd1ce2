//! The other routers: which of them are alive, and how many requests each has in flight.

mod client;
mod encoding;
mod message;
mod own_report;
mod part_news;
mod peer;
mod peer_failure;
mod peer_news;
mod peer_table;
mod peer_tokens;
mod readers;
mod round;
mod silence;

pub(crate) use client::{EXCHANGE_PATH, ORIGIN_PATH, ORIGINS_PATH, SERVERS_PATH};
pub use client::{PeerClient, PeerError};
pub(crate) use encoding::encode_with;
pub use encoding::{decode, encode};
pub use message::Message;
pub use own_report::OwnReport;
pub(crate) use part_news::{part_news_from_wire, part_news_to_wire};
pub(crate) use peer::Peer;
pub use peer_failure::FailureKind;
pub(crate) use peer_failure::PeerFailure;
pub use peer_table::{PeerLoad, PeerTable};
pub use peer_tokens::PeerTokens;
pub use readers::Reader;
pub(crate) use round::ROUND_INTERVAL;
pub use round::RoundTargets;
