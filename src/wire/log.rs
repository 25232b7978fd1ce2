//! Calls of the platform's log service.

use serde_json::Value;

wire! {
    /// One record.
    pub struct Record {
        /// Position in its stream.
        pub offset: u64,
        /// What was appended.
        pub body: Value,
    }

    /// Answer to a read.
    pub struct Page {
        /// Oldest offset still kept.
        pub first: u64,
        /// Offset that the next append will get.
        pub next: u64,
        /// Records from the asked offset on, in order.
        pub records: Vec<Record>,
    }

    /// Answer to an append.
    pub struct Appended {
        /// Offset of the new record.
        pub offset: u64,
    }
}
