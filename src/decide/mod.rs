//! Decisions as pure functions and state machines: they do no I/O, take the time as
//! an argument and random numbers from a seeded generator, and depend on no other
//! module of this library.

mod ack_watch;
mod admission;
mod arm;
mod baseline;
mod chat_table;
mod client_to_close;
mod engine;
mod entry;
mod failing;
mod failure_point;
mod follow_paces;
mod hash;
mod key_rates;
mod learnt;
mod max_in_flight;
mod named_limit;
pub mod once;
pub mod orders;
mod outlier;
mod parts;
mod pick;
mod place;
mod reading;
mod retry_budget;
mod run_progress;
mod sent_tokens;
mod server_pace;
mod service_load;
mod service_reach;
mod shortage;
mod suspect;
mod token_fit;
mod token_ledger;
mod verdict;

pub use ack_watch::{AckWatch, PeerState, SendState};
pub use admission::{
    FairQueue, PoolUsage, PushResult, QueueLimits, QueuedRequest, RateLimit, rate_share,
    router_capacity,
};
pub use arm::takes_part;
pub use baseline::{least_loaded, place_v1, rendezvous, round_robin};
pub use chat_table::{ChatPlace, ChatTable};
pub use client_to_close::{ClientPhase, ClientState, Scarcity, client_to_close, is_over_share};
pub use engine::Engine;
pub use entry::{EntryQuery, EntryRouter, entry_order, home_size, is_home};
pub use failing::{Results, is_failing, max_avoided};
pub use failure_point::FailurePoint;
pub use follow_paces::follow_paces;
pub use hash::{chat_key, combine, hash_bytes, weighted_score};
pub use key_rates::{KeyRates, UNSEEN_TIME};
pub(crate) use learnt::{Learnt, is_news, remove_oldest};
pub use max_in_flight::{max_at_brittle, max_in_flight};
pub use named_limit::LimitSenders;
pub use outlier::{Outliers, ServerResult};
pub use parts::{
    AnsweredPart, BlamedPart, CutRun, PartChange, PartIds, PartNews, PartPolicy, PartSuspects,
};
pub use pick::{Candidate, LoadBound, USUAL_PACE, pick};
pub use place::{PlaceQuery, Placement, place};
pub use reading::ReadingRate;
pub use retry_budget::{RetryBudget, RetryRate};
pub use run_progress::RunProgress;
pub use sent_tokens::SentTokens;
pub use server_pace::{PaceEvidence, PaceReading, PaceReport, ServerPace};
pub use service_load::ServiceLoad;
pub use service_reach::{ReachChange, ReachState, ServiceReach};
pub use shortage::{
    Demand, Lane, NoWait, PeerDemand, RankDemand, RankRoom, RefusedCallers, ReturnTimes, Shortage,
    ShortageView, Standing, UsualDeadline, WaitKey, WaitQuery, WaitQueue, may_wait,
};
pub use suspect::{SuspectPolicy, suspect_policy};
pub use token_fit::TokenQuery;
pub use token_ledger::{RequestTokens, ServerTokens, SharedPart, TokenLedger, TokenPlace};
pub use verdict::Verdict;
