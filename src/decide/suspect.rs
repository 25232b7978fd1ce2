//! Requests that may crash what runs them.

key! {
    /// How a request is run.
    pub enum Care {
        /// As any other.
        Free,
        /// Where little else is at risk, one at a time.
        Alone,
        /// Not at all.
        Refuse,
    }
}

/// Decides on a request while which `deaths` backend servers have died; at most
/// `limit` may be lost to it. One death alone proves nothing: the request may
/// have been beside another that caused it.
pub fn care(deaths: usize, limit: usize) -> Care {
    match deaths {
        0 => Care::Free,
        n if n < limit => Care::Alone,
        _ => Care::Refuse,
    }
}
