//! What routers tell each other of parts under suspicion.

use std::time::Instant;

use crate::decide::{BlamedPart, CutRun};

plain! {
    /// A part under suspicion that was answered in full.
    pub struct AnsweredPart {
        /// Its id.
        pub part: u64,
        /// When the last answer ended.
        pub at: Instant,
    }

    /// What a router tells the others of parts under suspicion.
    #[derive(Default)]
    pub struct PartNews {
        /// Runs that were cut off by a crash.
        pub runs: Vec<CutRun>,
        /// Parts that were answered in full.
        pub answered: Vec<AnsweredPart>,
        /// Parts that are blamed.
        pub blamed: Vec<BlamedPart>,
    }
}
