//! Properties of one engine.

use std::sync::Arc;
use std::time::Duration;

use crate::engine::{Loaded, WeightStore};

/// How an engine behaves while nothing is wrong.
#[derive(Debug, Clone, PartialEq)]
pub struct Options {
    /// Requests that run at the same time.
    pub slots: usize,
    /// Blocks of [`crate::engine::PrefixCache::BLOCK`] tokens that the cache holds.
    pub cache_blocks: usize,
    /// Time to read one token that is not cached.
    pub prefill: Duration,
    /// Time to write one token.
    pub decode: Duration,
    /// Age of load reports.
    pub load_lag: Duration,
    /// Age of cache events.
    pub event_lag: Duration,
    /// Every n-th cache event is never told; 0 tells all.
    pub event_gap: u64,
    /// Whether orders with an old fencing number are refused.
    pub checks_fencing: bool,
    /// How long a stream without reader goes on.
    pub resume_window: Duration,
    /// Models loaded at the start.
    pub loaded: Vec<Loaded>,
    /// Time to load a model version or adapter.
    pub load_time: Duration,
    /// Where it is loaded from.
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
