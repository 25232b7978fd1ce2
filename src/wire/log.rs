//! Requests and responses of the platform's log service.

use serde_json::Value;

wire! {
    /// One record of a stream.
    pub struct Record {
        /// Position in its stream.
        pub offset: u64,
        /// Appended content.
        pub body: Value,
    }

    /// Response to a read.
    pub struct Page {
        /// Oldest offset still stored.
        pub first: u64,
        /// Offset that the next append will get.
        pub next: u64,
        /// Records from the requested offset on, in order.
        pub records: Vec<Record>,
    }

    /// Response to an append.
    pub struct Appended {
        /// Offset of the new record.
        pub offset: u64,
    }
}
