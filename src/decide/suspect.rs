//! Requests that may crash the backend server that runs them.

key! {
    /// How a request is run.
    pub enum SuspectPolicy {
        /// Like any other request.
        Normal,
        /// Where little else is at risk, one such request at a time.
        Isolated,
        /// Not at all.
        Reject,
    }
}

/// Decides on a request during which `crashes` backend servers have crashed; at most
/// `limit` may be lost to it. One crash alone proves nothing: another request on the
/// same server may have caused it.
pub fn suspect_policy(crashes: usize, limit: usize) -> SuspectPolicy {
    match crashes {
        0 => SuspectPolicy::Normal,
        n if n < limit => SuspectPolicy::Isolated,
        _ => SuspectPolicy::Reject,
    }
}
