//! Backend servers that have recently processed a prompt prefix.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use smallvec::SmallVec;

use crate::servers::Server;

/// Holders stored for one prefix.
const MAX_HOLDERS: usize = 3;
/// Limit on the stored prefixes; beyond it, expired ones are removed.
const MAX_PREFIXES: usize = 20_000;
/// How long an unused prefix is likely to stay cached at a server.
const CACHE_TIME: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
struct Holder {
    server: Arc<Server>,
    last_used: Instant,
}

/// Recent holders by prefix, the latest first. Bounded in size.
#[derive(Debug, Default)]
pub struct PrefixHolders {
    holders: Mutex<HashMap<u64, SmallVec<[Holder; MAX_HOLDERS]>>>,
}

impl PrefixHolders {
    /// Records that `server` has processed the prefix `key`.
    pub fn record(&self, key: u64, server: &Arc<Server>, now: Instant) {
        let mut all = self.holders.lock().unwrap();
        if all.len() >= MAX_PREFIXES {
            all.retain(|_, it| it.iter().any(|it| is_recent(it, now)));
        }
        if all.len() >= MAX_PREFIXES {
            all.clear();
        }
        let holders = all.entry(key).or_default();
        holders.retain(|it| !Arc::ptr_eq(&it.server, server));
        holders.truncate(MAX_HOLDERS - 1);
        holders.insert(0, Holder { server: Arc::clone(server), last_used: now });
    }

    /// Whether `server` is known to have the prefix cached.
    pub fn holds(&self, key: u64, server: &Arc<Server>, now: Instant) -> bool {
        let all = self.holders.lock().unwrap();
        let mut recent = all.get(&key).into_iter().flatten().filter(|it| is_recent(it, now));
        recent.any(|it| Arc::ptr_eq(&it.server, server))
    }

    /// Whether any server is known to have the prefix cached.
    pub fn has_any(&self, key: u64, now: Instant) -> bool {
        let all = self.holders.lock().unwrap();
        let mut holders = all.get(&key).into_iter().flatten();
        holders.any(|it| is_recent(it, now) && !it.server.is_gone() && it.server.is_reachable(now))
    }

    /// The latest holder other than `chosen` that can hand over the prefix, and `may_send`.
    pub fn source(
        &self,
        key: u64,
        chosen: &Arc<Server>,
        now: Instant,
        may_send: impl Fn(&Server) -> bool,
    ) -> Option<Arc<Server>> {
        let all = self.holders.lock().unwrap();
        let mut recent = all.get(&key)?.iter().filter(|it| is_recent(it, now));
        let can_serve = |it: &&Holder| {
            let server = &it.server;
            let is_usable = !server.is_gone() && server.is_reachable(now);
            !Arc::ptr_eq(server, chosen) && is_usable && may_send(server)
        };
        recent.find(can_serve).map(|it| Arc::clone(&it.server))
    }
}

fn is_recent(holder: &Holder, now: Instant) -> bool {
    now.saturating_duration_since(holder.last_used) < CACHE_TIME
}
