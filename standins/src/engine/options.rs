//! Options of one engine.

use std::sync::Arc;
use std::time::Duration;

use crate::engine::{Loaded, WeightStore};

/// Behaviour of an engine without faults.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Maximum number of requests that run at the same time.
    pub slots: usize,
    /// Cache capacity in blocks of [`crate::engine::PrefixCache::BLOCK`] tokens.
    pub cache_blocks: usize,
    /// Prefill time of one token that is not cached.
    pub prefill: Duration,
    /// Decode time of one token.
    pub decode: Duration,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Age of cache events.
    pub event_lag: Duration,
    /// Drops every n-th cache event; 0 drops none.
    pub event_gap: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// How long a stream without a reader continues and can be resumed.
    pub resume_window: Duration,
    /// Models and adapters loaded at start.
    pub loaded: Vec<Loaded>,
    /// Time to load a model version or adapter.
    pub load_time: Duration,
    /// Weight store from which models are loaded.
    pub store: Arc<WeightStore>,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            slots: 8,
            cache_blocks: 2_048,
            prefill: Duration::from_micros(20),
            decode: Duration::from_micros(500),
            load_lag: Duration::from_millis(200),
            event_lag: Duration::from_millis(300),
            event_gap: 10,
            checks_fencing: true,
            resume_window: Duration::from_secs(2),
            loaded: Vec::new(),
            load_time: Duration::ZERO,
            store: Arc::default(),
        }
    }
}
