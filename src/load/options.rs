//! What load to make.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest run.
const MAX_TIME: Duration = Duration::from_secs(600);
/// Most requests a second.
const MAX_RATE: f64 = 5_000.0;

plain! {
    /// What load to make.
    pub struct LoadOptions {
        /// Routers to ask first which address to use.
        pub routers: Vec<SocketAddr>,
        /// Requests a second.
        pub rate: f64,
        /// How long requests begin.
        pub time: Duration,
        /// How long a request may take.
        pub request_timeout: Duration,
        /// Seed of the schedule.
        pub seed: u64,
        /// Organisations; the first ones send the most.
        pub organisations: usize,
        /// Share of chat requests that continue a chat.
        pub returning: f64,
        /// Share of chat requests whose answers are streamed.
        pub streams: f64,
        /// Share of requests that are calls that may not be repeated.
        pub once: f64,
        /// Requests in flight at most; further ones are counted as not sent.
        pub max_in_flight: usize,
        /// Whether addresses other than loopback may be used.
        pub remote: bool,
    }

    /// Options that cannot be run.
    pub struct OptionsError {
        /// What is wrong and what is allowed.
        pub fault: String,
    }
}

impl fmt::Display for OptionsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.fault)
    }
}

impl std::error::Error for OptionsError {}

impl Default for LoadOptions {
    fn default() -> LoadOptions {
        LoadOptions {
            routers: Vec::new(),
            rate: 50.0,
            time: Duration::from_secs(10),
            request_timeout: Duration::from_secs(30),
            seed: 1,
            organisations: 5,
            returning: 0.8,
            streams: 0.5,
            once: 0.1,
            max_in_flight: 1_000,
            remote: false,
        }
    }
}

impl LoadOptions {
    /// Checks that the load is bounded and stays where it may go.
    ///
    /// # Errors
    /// Names the first fault found.
    pub fn check(&self) -> Result<(), OptionsError> {
        let shares = [self.returning, self.streams, self.once];
        let faults = [
            (self.routers.is_empty(), "no router is known".to_owned()),
            (
                !(self.rate > 0.0 && self.rate <= MAX_RATE),
                format!("the rate is {}; above 0 to {MAX_RATE} are allowed", self.rate),
            ),
            (
                self.time.is_zero() || self.time > MAX_TIME,
                format!("the time is {:?}; above 0 to {MAX_TIME:?} are allowed", self.time),
            ),
            (
                shares.iter().any(|it| !(0.0..=1.0).contains(it)),
                "shares are from 0 to 1".to_owned(),
            ),
            (self.organisations == 0, "at least one organisation is needed".to_owned()),
        ];
        if let Some((_, fault)) = faults.into_iter().find(|it| it.0) {
            return Err(OptionsError { fault });
        }
        self.routers.iter().try_for_each(|it| self.check_address(*it))
    }

    /// Checks that load may go to `address`.
    ///
    /// # Errors
    /// Fails for addresses other than loopback, unless they are allowed.
    pub fn check_address(&self, address: SocketAddr) -> Result<(), OptionsError> {
        if self.remote || address.ip().is_loopback() {
            return Ok(());
        }
        let fault = format!("{address} is not on loopback; `--remote` allows it");
        Err(OptionsError { fault })
    }
}
