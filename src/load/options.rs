//! Options of the load generator.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum duration of a run.
const MAX_TIME: Duration = Duration::from_secs(600);
/// Maximum number of requests a second.
const MAX_RATE: f64 = 5_000.0;

plain! {
    /// Options of a run.
    pub struct LoadOptions {
        /// Routers from which callers request their addresses.
        pub routers: Vec<SocketAddr>,
        /// Requests a second.
        pub rate: f64,
        /// How long new requests are sent.
        pub time: Duration,
        /// How long a request may take.
        pub request_timeout: Duration,
        /// Seed of the schedule.
        pub seed: u64,
        /// Number of organisations; the first ones send the most.
        pub organisations: usize,
        /// Share of chat requests that continue a chat.
        pub returning: f64,
        /// Share of chat requests whose answers are streamed.
        pub streams: f64,
        /// Share of requests that are at-most-once calls.
        pub once: f64,
        /// Maximum number of requests in flight; further ones are counted as not sent.
        pub max_in_flight: usize,
        /// Whether addresses other than loopback may be used.
        pub remote: bool,
    }

    /// Error of invalid options.
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
    /// Checks that the load is bounded and that all routers may receive it.
    ///
    /// # Errors
    /// Names the first invalid option.
    pub fn check(&self) -> Result<(), OptionsError> {
        let shares = [self.returning, self.streams, self.once];
        let faults = [
            (self.routers.is_empty(), "no router is known".to_owned()),
            (
                !(self.rate > 0.0 && self.rate <= MAX_RATE),
                format!("the rate is {}; expected more than 0 and at most {MAX_RATE}", self.rate),
            ),
            (
                self.time.is_zero() || self.time > MAX_TIME,
                format!(
                    "the time is {:?}; expected more than 0 and at most {MAX_TIME:?}",
                    self.time
                ),
            ),
            (
                shares.iter().any(|it| !(0.0..=1.0).contains(it)),
                "shares must be from 0 to 1".to_owned(),
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
