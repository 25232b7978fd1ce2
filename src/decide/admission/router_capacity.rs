//! The share of a pool's capacity that one router may use.

plain! {
    /// The capacity of a pool and its use.
    pub struct PoolUsage {
        /// Requests that the pool's engines can run at once.
        pub slots: u64,
        /// Requests running and waiting there, as last reported.
        pub busy: u64,
        /// Requests of this router in flight there.
        pub own: u64,
        /// Routers that take callers, including this one; at least 1.
        pub routers: u64,
        /// Maximum number of requests in flight, as a multiple of the slots; at least 1.
        pub headroom: f64,
    }
}

/// Returns how many requests this router may have in flight at the pool's engines.
///
/// An equal share is always granted. Beyond it, the router may use an equal share of the
/// capacity that is free by the last reports, so that a router with more callers than the
/// others can use what they leave idle. If all routers do so at once, they use the free
/// capacity and no more.
pub fn router_capacity(pool: &PoolUsage) -> u64 {
    let max = (pool.slots as f64 * pool.headroom).ceil() as u64;
    let routers = pool.routers.max(1);
    let share = max.div_ceil(routers).max(1);
    let free = max.saturating_sub(pool.busy.max(pool.own));
    let extra = if free == 0 { 0 } else { (free / routers).max(1) };
    share.max((pool.own + extra).min(max))
}
