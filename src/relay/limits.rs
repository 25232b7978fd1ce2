//! Bounds on passing requests on.

use std::time::Duration;

use crate::decide::LoadBound;

plain! {
    /// How long things may take and how far they may go.
    pub struct RelayLimits {
        /// Requests with a key are refused once the rules were not confirmed for this long.
        pub key_age: Duration,
        /// A router that has not confirmed its rules for this long is not ready.
        pub ready_age: Duration,
        /// A missing route or key is trusted only if the rules were confirmed within this time.
        pub deny_age: Duration,
        /// Share of the requests of a service that may be sent again.
        pub retry_ratio: f64,
        /// Requests that may be sent again besides, over all routers, within `retry_window`.
        pub retry_slack: f64,
        /// The window for `retry_slack`.
        pub retry_window: Duration,
        /// How far the loads of backend servers may differ.
        pub bound: LoadBound,
    }
}
