//! A run that was cut off by the crash of its backend server.

use std::time::Instant;

use smallvec::SmallVec;

/// Ids of prompt parts.
pub type PartIds = SmallVec<[u64; 4]>;

plain! {
    /// A run that was cut off by the crash of its backend server.
    pub struct CutRun {
        /// Hash of the incarnation of the server.
        pub server: u64,
        /// How strongly it speaks against each of its parts, see `RunProgress::points`.
        pub points: u8,
        /// When it was cut off.
        pub at: Instant,
        /// Shared parts of its prompt.
        pub parts: PartIds,
    }
}

impl CutRun {
    /// Whether both are reports on one run, or say the same of the same parts.
    pub fn is_same(&self, other: &CutRun) -> bool {
        self.server == other.server && self.points == other.points && self.parts == other.parts
    }
}
