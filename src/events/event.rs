//! One event.

wire! {
    /// One event as kept and told.
    pub struct Event {
        /// Position in the sequence of its process.
        pub seq: u64,
        /// Wall-clock time in microseconds since 1970.
        pub at_us: u64,
        /// Number in the catalogue.
        pub code: u16,
        /// Name in the catalogue.
        pub name: String,
        /// Instance that saw it.
        pub instance: String,
        /// Request, ticket or instance that it is about.
        pub subject: String,
        /// Details.
        pub detail: String,
    }
}
