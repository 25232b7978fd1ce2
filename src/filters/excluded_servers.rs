//! Servers of a pool that do not hold the model or adapter of a request.

use smallvec::SmallVec;

use crate::decide::hash_bytes;
use crate::filters::{Call, Target};
use crate::fleet::Pool;

/// Servers of a pool that must not or may not be able to take a request, by index.
#[derive(Debug, Default)]
pub(crate) struct ExcludedServers {
    /// Servers known not to hold the model or adapter.
    pub(crate) not_loaded: SmallVec<[usize; 8]>,
    /// Servers with unknown content, for a model that is loaded by order.
    pub(crate) unknown: SmallVec<[usize; 8]>,
}

impl ExcludedServers {
    /// Servers of `pool` to exclude for `call`. An engine that reports nothing
    /// loaded takes any model which is not loaded by order.
    pub(crate) fn new(call: &Call, pool: &Pool) -> ExcludedServers {
        let mut excluded = ExcludedServers::default();
        let Target::Model { name, .. } = &call.target else {
            return excluded;
        };
        let key = hash_bytes(name.as_bytes());
        let ordered = call.view.state.is_ordered(name);
        for (i, loaded) in pool.loaded.iter().enumerate() {
            match loaded {
                None if ordered => excluded.unknown.push(i),
                None => {}
                Some(keys) if keys.is_empty() && !ordered => {}
                Some(keys) if keys.binary_search(&key).is_err() => excluded.not_loaded.push(i),
                Some(_) => {}
            }
        }
        excluded
    }

    /// Whether every server of `pool` is known not to hold the model or adapter.
    pub(crate) fn covers(&self, pool: &Pool) -> bool {
        !pool.loaded.is_empty() && self.not_loaded.len() == pool.loaded.len()
    }
}
