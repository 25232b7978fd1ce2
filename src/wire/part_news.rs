//! What routers tell each other of parts of prompts that may crash backend servers.

wire! {
    /// A run that was cut off by the crash of its backend server: hash of the incarnation of
    /// the server, points against its parts, how long ago in milliseconds, and its parts.
    pub struct WireCutRun(pub u64, pub u8, pub u64, pub Vec<u64>);

    /// A part that was answered in full: its id, and how long ago in milliseconds.
    pub struct WireAnsweredPart(pub u64, pub u64);

    /// A part that is blamed for crashes: its id, how long ago a server crashed under it last
    /// in milliseconds, and the parts that all runs had which speak against it.
    pub struct WireBlamedPart(pub u64, pub u64, pub Vec<u64>);

    /// A blamed part as the store keeps it.
    pub struct WireStoredBlame {
        /// Its id.
        pub part: u64,
        /// When a server crashed under it last, in milliseconds since 1970.
        pub at_ms: u64,
        /// Parts that all runs had which speak against it.
        pub companions: Vec<u64>,
    }

    /// News of parts under suspicion.
    #[derive(Default)]
    #[serde(default)]
    pub struct WirePartNews {
        /// Runs that were cut off by a crash.
        pub runs: Vec<WireCutRun>,
        /// Parts that were answered in full.
        pub answered: Vec<WireAnsweredPart>,
        /// Parts that are blamed.
        pub blamed: Vec<WireBlamedPart>,
    }
}

impl WirePartNews {
    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty() && self.answered.is_empty() && self.blamed.is_empty()
    }
}
