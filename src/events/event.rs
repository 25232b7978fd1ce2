//! One event.

use crate::events::HybridTime;

wire! {
    /// One event as kept and told.
    pub struct Event {
        /// Position in the sequence of its process.
        pub seq: u64,
        /// Hybrid logical time; orders events over all processes.
        #[serde(default)]
        pub time: HybridTime,
        /// Wall-clock time of the process in microseconds since 1970.
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

    /// What a process tells of its events.
    pub struct EventPage {
        /// The process.
        pub instance: String,
        /// When it started, in microseconds since 1970 by its wall clock.
        pub started_us: u64,
        /// Its wall-clock time of the answer, in microseconds since 1970.
        pub now_us: u64,
        /// Events dropped because there was no room.
        pub dropped: u64,
        /// No event at or after this position is missing.
        pub complete_from: u64,
        /// Kept events, oldest first.
        pub events: Vec<Event>,
    }
}
