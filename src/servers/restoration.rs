//! What a restoration of the platform's store from a copy leaves unknown of earlier streams.

use std::time::{Duration, Instant};

use crate::servers::HISTORY_TIME;

/// Time in which backend servers write their records again after a restoration, and the reads that
/// find them.
const REWRITE_TIME: Duration = Duration::from_millis(2_800);

/// A restoration of the store from a copy. Registrations of software versions that were written
/// between the copy and the restoration are gone.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Restoration {
    /// The state of the store since then.
    era: u64,
    /// When the first process noticed it, as far as this one knows.
    noticed: Instant,
    /// When this process, which followed the store before, noticed it.
    lived_through: Option<Instant>,
}

impl Restoration {
    /// A restoration that began the state `era` and was noticed at `noticed`, by this process or
    /// another one.
    pub fn new(era: u64, noticed: Instant) -> Restoration {
        Restoration { era, noticed, lived_through: None }
    }

    /// Notes that this process followed the store before, and that it noticed the restoration at
    /// `now`.
    pub fn live_through(self, now: Instant) -> Restoration {
        Restoration { lived_through: Some(now), ..self }
    }

    /// What is known of the latest of two restorations.
    pub fn merge(self, other: Restoration) -> Restoration {
        if self.era != other.era {
            return if self.era > other.era { self } else { other };
        }
        Restoration {
            era: self.era,
            noticed: self.noticed.min(other.noticed),
            lived_through: self.lived_through.or(other.lived_through),
        }
    }

    /// The state of the store that it began.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// When it was first noticed.
    pub fn noticed(&self) -> Instant {
        self.noticed
    }

    /// Whether callers may still take up streams that began before it.
    pub fn is_recent(&self, now: Instant) -> bool {
        now < self.noticed + HISTORY_TIME
    }

    /// Whether this process knows every version that serves or served lately: it saw those before
    /// the restoration, and their servers have had the time to write their records again.
    pub fn knows_versions(&self, now: Instant) -> bool {
        self.lived_through.is_some_and(|it| now >= it + REWRITE_TIME)
    }
}
