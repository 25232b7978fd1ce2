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
pub struct PrefixHolders {
    holders: Mutex<HashMap<u64, SmallVec<[Holder; MOST_HOLDERS]>>>,
}

impl PrefixHolders {
    /// Notes that `server` has read the prefix `key`.
    pub fn record(&self, key: u64, server: &Arc<Server>, now: Instant) {
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

    /// Whether `server` is known to hold the prefix.
    pub fn holds(&self, key: u64, server: &Arc<Server>, now: Instant) -> bool {
        let all = self.holders.lock().unwrap();
        let mut fresh = all.get(&key).into_iter().flatten().filter(|it| is_fresh(it, now));
        fresh.any(|it| Arc::ptr_eq(&it.server, server))
    }

    /// The latest holder other than `chosen` that can hand the prefix over.
    pub fn source(&self, key: u64, chosen: &Arc<Server>, now: Instant) -> Option<Arc<Server>> {
        let all = self.holders.lock().unwrap();
        let mut fresh = all.get(&key)?.iter().filter(|it| is_fresh(it, now));
        let open = |it: &&Holder| {
            let server = &it.server;
            !Arc::ptr_eq(server, chosen) && !server.is_gone() && server.is_reachable(now)
        };
        fresh.find(open).map(|it| Arc::clone(&it.server))
    }
}

fn is_fresh(holder: &Holder, now: Instant) -> bool {
    now.saturating_duration_since(holder.used) < KEEP_TIME
}
