//! Model engine: continuous batching, prefix cache, streams, orders and faults.

mod answer;
mod cache;
mod engine;
mod faults;
mod feed;
mod generate;
mod http;
mod job;
mod options;
mod orders;
mod slots;
mod weight_store;

pub use answer::{answer, answer_token};
pub use cache::{CacheEvent, PrefixCache};
pub use engine::{EngineStandin, LoadReport, Loaded};
pub use faults::Faults;
pub use options::Options;
pub use orders::{Order, OrderRequest};
pub use weight_store::WeightStore;
