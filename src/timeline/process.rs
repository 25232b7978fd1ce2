//! Processes of a time line, and which of their events are missing.

wire! {
    /// Events that a process dropped because its ring was full.
    pub struct Gap {
        /// Number of dropped events.
        pub dropped: u64,
        /// Wall-clock time from which the events are complete, in microseconds since
        /// 1970; `None` when no event remains.
        pub until_us: Option<u64>,
    }

    /// One process.
    pub struct Process {
        /// Its name.
        pub name: String,
        /// Why its events could not be read; `None` if they were.
        pub missing: Option<String>,
        /// Start time, in microseconds since 1970.
        pub started_us: u64,
        /// How far its wall clock is ahead of the reader's, in microseconds.
        pub ahead_us: i64,
        /// Its dropped events, if any.
        pub gap: Option<Gap>,
    }
}

impl Process {
    /// A process whose events could not be read because of `fault`.
    pub fn missing(name: &str, fault: &str) -> Process {
        Process {
            name: name.to_owned(),
            missing: Some(fault.to_owned()),
            started_us: 0,
            ahead_us: 0,
            gap: None,
        }
    }
}
