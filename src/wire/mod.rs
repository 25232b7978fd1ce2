//! Types of messages to and from other processes, kept apart from the types that the
//! code works with.

mod age;
mod api_error;
mod chat;
mod entry;
mod gossip;
mod in_force;
mod instance;
mod load;
mod log;
mod once;
mod order;
mod pace;
mod packed;
mod part_news;
mod peer;
mod server_tokens;
mod sighting;
mod status;
mod stream_record;
mod ticket;

pub(crate) use age::{age_ms, time_of_age};
pub use api_error::{ApiError, ApiErrorBody};
pub use chat::{ChatAnswer, ChatChunk, ChatMessage, ChatRequest, PromptDetails, Usage};
pub use entry::{EntryAddress, EntryAnswer};
pub use gossip::{
    FullState, GOSSIP_VERSION, Gossip, MemberStatus, StatePart, StateRequest, WireCrash,
    WireInstanceEntry, WireLeavingMark, WireLeavingMarkSet, WireLoad, WireLoadedModels, WireMember,
};
pub use in_force::{WireEarlierAcceptance, WireInForce, WireObjectState, WireOutcome};
pub use instance::{Instance, InstanceState, Role};
pub use load::{LoadReport, ModelRef};
pub use log::{Appended, Page, Record};
pub use once::{KeyAnswer, KeyQuery, NewKey, WireClaims};
pub use order::{OrderRecord, OrderRequest, WireOrder};
pub use pace::{ToldPace, pack_paces, unpack_paces};
pub use packed::{PackError, pack_gossip, packed_len, unpack_gossip};
pub use part_news::{WireAnsweredPart, WireBlamedPart, WireCutRun, WirePartNews, WireStoredBlame};
pub use peer::{
    ServerLoad, WireDemand, WireEvacuations, WireExchange, WireNews, WireObservation,
    WireOriginQuery, WireOriginReply, WirePeerFailure, WirePosition, WireRankDemand, WireRouter,
    WireSeenSoftware, WireServer, WireServerLeaving, WireServerLimit, WireServers,
    WireServersAddition, WireServersRequest, WireServiceSoftware, WireStreamOrigin,
    WireStreamOrigins, pack_loads, unpack_loads,
};
pub use server_tokens::{pack_tokens, unpack_tokens};
pub use sighting::{Sighting, pack_sightings, unpack_sightings};
pub use status::{WireEngine, WireRequestCount, WireStatus, WireWantedItem};
pub use stream_record::{
    WireProcess, WireRegisteredSoftware, WireStartedStreams, WireStreamRecord,
};
pub use ticket::{WireObject, WireTicket, parse_ticket};
