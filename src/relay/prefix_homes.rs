//! Which backend servers have read a prompt's prefix lately.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::servers::Server;

/// Holders remembered for one prefix.
const MOST_HOLDERS: usize = 3;
/// Prefixes remembered; beyond that, old ones are forgotten.
const MOST_PREFIXES: usize = 20_000;
/// How long a prefix is likely to stay cached without being used.
const KEEP_TIME: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
struct Holder {
    server: Arc<Server>,
    used: Instant,
}

/// Recent holders by prefix, the latest first. Bounded.
#[derive(Debug, Default)]
pub struct PrefixHomes {
    holders: Mutex<HashMap<u64, SmallVec<[Holder; MOST_HOLDERS]>>>,
}

impl PrefixHomes {
    /// Notes that `server` has read the prefix `key`.
    pub fn note(&self, key: u64, server: &Arc<Server>, now: Instant) {
        let mut all = self.holders.lock().unwrap();
        if all.len() >= MOST_PREFIXES {
            all.retain(|_, it| it.iter().any(|it| is_fresh(it, now)));
        }
        if all.len() >= MOST_PREFIXES {
            all.clear();
        }
        let holders = all.entry(key).or_default();
        holders.retain(|it| !Arc::ptr_eq(&it.server, server));
        holders.truncate(MOST_HOLDERS - 1);
        holders.insert(0, Holder { server: Arc::clone(server), used: now });
    }

    /// A server other than `chosen` that holds the prefix and can hand it over;
    /// none when `chosen` holds it itself or nobody does.
    pub fn source(&self, key: u64, chosen: &Arc<Server>, now: Instant) -> Option<Arc<Server>> {
        let all = self.holders.lock().unwrap();
        let fresh = all.get(&key)?.iter().filter(|it| is_fresh(it, now));
        let held: SmallVec<[&Holder; MOST_HOLDERS]> = fresh.collect();
        if held.iter().any(|it| Arc::ptr_eq(&it.server, chosen)) {
            return None;
        }
        let open = held.into_iter().find(|it| !it.server.is_gone() && it.server.is_reachable(now));
        open.map(|it| Arc::clone(&it.server))
    }
}

fn is_fresh(holder: &Holder, now: Instant) -> bool {
    now.saturating_duration_since(holder.used) < KEEP_TIME
}
