//! Which servers of a pool hold what a request asks for.

use smallvec::SmallVec;

use crate::decide::hash_bytes;
use crate::filters::{Call, Target};
use crate::fleet::Pool;

/// Servers of a pool that do not take a request, by index.
#[derive(Debug, Default)]
pub(crate) struct ExcludedServers {
    /// Those that are known not to hold what it asks for.
    pub(crate) not_loaded: SmallVec<[usize; 8]>,
    /// Those of which it is not known, although orders decide what they hold.
    pub(crate) unknown: SmallVec<[usize; 8]>,
}

impl ExcludedServers {
    /// Servers of `pool` that do not hold what `call` asks for. An engine that
    /// reports nothing loaded takes any model which is not loaded by order.
    pub(crate) fn new(call: &Call, pool: &Pool) -> ExcludedServers {
        let mut excluded = ExcludedServers::default();
        let Target::Model { name, .. } = &call.target else {
            return excluded;
        };
        let key = hash_bytes(name.as_bytes());
        let ordered = call.view.state.is_ordered(name);
        for (i, held) in pool.loaded.iter().enumerate() {
            match held {
                None if ordered => excluded.unknown.push(i),
                None => {}
                Some(keys) if keys.is_empty() && !ordered => {}
                Some(keys) if keys.binary_search(&key).is_err() => excluded.not_loaded.push(i),
                Some(_) => {}
            }
        }
        excluded
    }

    /// Whether no server of `pool` can be asked.
    pub(crate) fn covers(&self, pool: &Pool) -> bool {
        !pool.loaded.is_empty() && self.not_loaded.len() == pool.loaded.len()
    }
}
