//! Which servers of a pool hold what a request asks for.

use smallvec::SmallVec;

use crate::decide::hash_bytes;
use crate::filters::{Call, Target};
use crate::fleet::Pool;

/// Servers of a pool that do not take a request, by index.
#[derive(Debug, Default)]
pub(crate) struct Lacking {
    /// Those that are known not to hold what it asks for.
    pub(crate) known: SmallVec<[usize; 8]>,
    /// Those of which it is not known, although orders decide what they hold.
    pub(crate) unsure: SmallVec<[usize; 8]>,
}

impl Lacking {
    /// Servers of `pool` that do not hold what `call` asks for. An engine that
    /// reports nothing loaded takes any model which is not loaded by order.
    pub(crate) fn new(call: &Call, pool: &Pool) -> Lacking {
        let mut lacking = Lacking::default();
        let Target::Model { name, .. } = &call.target else {
            return lacking;
        };
        let key = hash_bytes(name.as_bytes());
        let ordered = call.view.state.is_ordered(name);
        for (i, held) in pool.loaded.iter().enumerate() {
            match held {
                None if ordered => lacking.unsure.push(i),
                None => {}
                Some(keys) if keys.is_empty() && !ordered => {}
                Some(keys) if keys.binary_search(&key).is_err() => lacking.known.push(i),
                Some(_) => {}
            }
        }
        lacking
    }

    /// Whether no server of `pool` can be asked.
    pub(crate) fn is_whole(&self, pool: &Pool) -> bool {
        !pool.loaded.is_empty() && self.known.len() == pool.loaded.len()
    }
}
