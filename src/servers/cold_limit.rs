//! The time for which a backend server is cold, and what this router may send to it meanwhile.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::decide::LimitSenders;
use crate::servers::limit_share::LimitShare;

/// Limit on the time that counts.
const MAX_TIME: Duration = Duration::from_secs(300);
/// What a router may save up, in seconds of its share.
const BURST_S: f64 = 0.1;

/// What the fleet may send to each cold server of a service.
#[derive(Debug, Clone, Default)]
pub struct ColdTerms {
    /// Requests a second of all routers together; absent where cold servers take as many as
    /// others.
    pub rate: Option<f64>,
    /// The routers that share it; absent while this router does not know who else does.
    pub senders: Option<Arc<LimitSenders>>,
}

impl ColdTerms {
    fn share(&self, server: u64, rate: f64) -> f64 {
        self.senders.as_ref().map_or(0.0, |it| it.cold_share(server, rate))
    }
}

/// Until when one incarnation of a server is cold.
#[derive(Debug, Default)]
pub(crate) struct ColdLimit {
    until: Option<Instant>,
    /// Rate for which `share` was computed; absent when other routers share it now.
    rate: Option<f64>,
    share: LimitShare,
}

impl ColdLimit {
    /// Notes that the server stays cold for `time`, or for `MAX_TIME` if that is less. Never
    /// shortens a former time.
    pub fn extend(&mut self, time: Duration, now: Instant) {
        if !time.is_zero() {
            self.until = self.until.max(Some(now + time.min(MAX_TIME)));
        }
    }

    /// How much longer the server is cold.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until.map_or(Duration::ZERO, |it| it.saturating_duration_since(now))
    }

    /// To be called when other routers than before share the rates.
    pub fn forget_share(&mut self) {
        self.rate = None;
    }

    /// This router's share in requests a second; absent where nothing limits it. `server` is
    /// the hash of the server's id.
    pub fn share(&mut self, server: u64, terms: &ColdTerms, now: Instant) -> Option<f64> {
        let rate = terms.rate.filter(|_| !self.remaining(now).is_zero())?;
        if self.rate != Some(rate) {
            self.share.set(terms.share(server, rate));
            self.rate = Some(rate);
        }
        Some(self.share.rate())
    }

    /// Whether this router may send a request now.
    pub fn has_allowance(&mut self, server: u64, terms: &ColdTerms, now: Instant) -> bool {
        self.share(server, terms, now).is_none() || self.share.is_left(now)
    }

    /// Counts a request of this router; false if its share is spent.
    pub fn take(&mut self, server: u64, terms: &ColdTerms, now: Instant) -> bool {
        self.share(server, terms, now).is_none() || self.share.take(BURST_S, now)
    }
}
