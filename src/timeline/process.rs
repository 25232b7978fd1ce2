//! Processes of a time line, and what is missing of each.

wire! {
    /// Events that a process has dropped.
    pub struct Gap {
        /// How many.
        pub dropped: u64,
        /// Wall-clock time from which nothing is missing, in microseconds since
        /// 1970; `None` when nothing at all is left.
        pub until_us: Option<u64>,
    }

    /// One process.
    pub struct Process {
        /// Its name.
        pub name: String,
        /// Why it told nothing; `None` when it answered.
        pub missing: Option<String>,
        /// When it started, in microseconds since 1970.
        pub started_us: u64,
        /// How far its wall clock is ahead of the reader's, in microseconds.
        pub ahead_us: i64,
        /// What it has dropped, if anything.
        pub gap: Option<Gap>,
    }
}

impl Process {
    /// A process that told nothing.
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
