//! How much of a pool one router may use.

plain! {
    /// What is known of a pool.
    pub struct PoolUsage {
        /// Requests that the pool's engines can run at once.
        pub slots: u64,
        /// Requests running and waiting there, as last reported.
        pub busy: u64,
        /// Requests that this router has there.
        pub own: u64,
        /// Routers that take callers, this one among them; at least 1.
        pub routers: u64,
        /// Requests given to engines as a multiple of their slots; at least 1.
        pub headroom: f64,
    }
}

/// Requests that this router may have at the pool's engines.
///
/// An equal share is always granted. Beyond it, the router may take an equal
/// share of what the reports show as free, so that a router that gets more
/// callers than others can use what these leave idle; when all do so at once,
/// they take what is free and no more.
pub fn router_capacity(input: &PoolUsage) -> u64 {
    let most = (input.slots as f64 * input.headroom).ceil() as u64;
    let routers = input.routers.max(1);
    let share = most.div_ceil(routers).max(1);
    let free = most.saturating_sub(input.busy.max(input.own));
    let extra = if free == 0 { 0 } else { (free / routers).max(1) };
    share.max((input.own + extra).min(most))
}
