//! Events as they are served to other processes.

use crate::events::HybridTime;

wire! {
    /// One event of a process.
    pub struct Event {
        /// Position in the sequence of its process.
        pub seq: u64,
        /// Hybrid logical time, which orders the events of all processes.
        #[serde(default)]
        pub time: HybridTime,
        /// Wall-clock time of the process in microseconds since 1970.
        pub at_us: u64,
        /// Number in the catalogue.
        pub code: u16,
        /// Name in the catalogue.
        pub name: String,
        /// Instance that recorded it.
        pub instance: String,
        /// Request, ticket or instance that it concerns.
        pub subject: String,
        /// Details.
        pub detail: String,
    }

    /// The recent events of a process, and what is missing from them.
    pub struct EventPage {
        /// Name of the process.
        pub instance: String,
        /// When it started, in microseconds since 1970 by its wall clock.
        pub started_us: u64,
        /// Its wall-clock time when it built this page, in microseconds since 1970.
        pub now_us: u64,
        /// Number of events dropped because the store was full.
        pub dropped: u64,
        /// Position from which on no event is missing.
        pub complete_from: u64,
        /// Stored events, oldest first.
        pub events: Vec<Event>,
    }
}
