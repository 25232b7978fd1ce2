//! What a change of a record does to its server.

key! {
    /// The effect of a change on a server.
    pub enum Effect {
        /// Nothing.
        None,
        /// A new incarnation takes work.
        Joined,
        /// It takes no new work.
        Left,
        /// Its record is gone, after it had left.
        Gone,
        /// Its record cannot be used.
        Unreadable,
        /// Its record went during an outage and may reappear; the server is still used.
        Retained,
    }
}
