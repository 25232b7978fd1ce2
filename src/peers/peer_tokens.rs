//! Tokens of the other routers' requests at backend servers.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::decide::ServerTokens;
use crate::peers::PeerTable;
use crate::peers::peer::PEER_TIMEOUT;

/// What the other routers told of tokens.
#[derive(Debug, Clone, PartialEq)]
pub struct PeerTokens {
    /// Tokens by the lower half of the server's hash.
    pub servers: HashMap<u32, ServerTokens>,
    /// When they were told, on average.
    pub at: Instant,
}

impl PeerTable {
    /// Sets what the router `name` told with its last loads: its tokens at the servers at which it
    /// has requests in flight.
    pub fn set_tokens(&mut self, name: &str, tokens: Vec<ServerTokens>) {
        if let Some(peer) = self.peers.get_mut(name) {
            peer.tokens = tokens;
        }
    }

    /// Tokens of the other routers at backend servers. A living router without a recent report
    /// counts with the mean of those that have one.
    pub fn tokens(&self, now: Instant) -> PeerTokens {
        let mut servers: HashMap<u32, ServerTokens> = HashMap::new();
        let mut ages = Duration::ZERO;
        let mut reported: u32 = 0;
        let reports = self.alive(now).filter_map(|it| Some((it.loads.as_ref()?, &it.tokens)));
        for ((at, loads), tokens) in reports {
            let age = now.saturating_duration_since(*at);
            if age >= PEER_TIMEOUT {
                continue;
            }
            reported += 1;
            ages += age;
            let busy = loads.iter().filter(|it| it.in_flight > 0);
            for (load, tokens) in busy.zip(tokens) {
                servers.entry(load.server).or_default().add(tokens);
            }
        }
        let factor = self.alive_count(now) as f64 / f64::from(reported.max(1));
        servers.values_mut().for_each(|it| it.scale(factor));
        let age = ages / reported.max(1);
        PeerTokens { servers, at: now.checked_sub(age).unwrap_or(now) }
    }
}
