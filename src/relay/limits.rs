//! Limits on relayed requests.

use std::time::Duration;

use crate::decide::LoadBound;

plain! {
    /// Limits on the staleness of rules, on retries and on load differences.
    pub struct RelayLimits {
        /// Requests with a key are refused once the rules are this stale.
        pub key_age: Duration,
        /// A router whose rules are this stale is not ready.
        pub ready_age: Duration,
        /// A route or key is reported as unknown only while the rules are less stale than this.
        pub deny_age: Duration,
        /// Share of the requests of a service that may be retried.
        pub retry_ratio: f64,
        /// Further retries that all routers together may send within `retry_window`.
        pub retry_slack: f64,
        /// The window for `retry_slack`.
        pub retry_window: Duration,
        /// Limit on the differences between the loads of backend servers.
        pub bound: LoadBound,
        /// Requests go where their prompts are read in time and their memory fits; else by load alone.
        pub token_budgets: bool,
        /// Requests that find no room wait for it, and less urgent ones yield to more urgent ones;
        /// else they are refused at once.
        pub wait_for_room: bool,
    }
}
