//! The order in which requests for the same service get room.

use std::time::Duration;

/// Time that a caller must have waited so that it counts as one that comes back. No caller is
/// told to come back earlier.
pub(crate) const MIN_RETURN_TIME: Duration = Duration::from_millis(100);

key! {
    /// What was done for a request before; the first variant goes first.
    pub enum Standing {
        /// Its stream broke, or an attempt of this router failed.
        Resumed,
        /// Its caller waited as long as it was told to.
        Returned,
        /// It is new, as far as is known.
        New,
        /// It was refused here, and its caller did not wait as long as it was told to.
        Repeated,
    }

    /// Place of a request among others of its service; the least one goes first.
    pub struct Lane {
        /// Rank, 0 is the most urgent.
        pub rank: u8,
        /// Order within the rank.
        pub standing: Standing,
    }
}

impl Default for Lane {
    fn default() -> Lane {
        Lane { rank: 0, standing: Standing::New }
    }
}

impl Lane {
    /// The lane of a request of `rank`. Resumed ones go before all ranks, as work was done for
    /// them that would be lost.
    pub fn new(rank: u8, standing: Standing) -> Lane {
        let rank = if standing == Standing::Resumed { 0 } else { rank };
        Lane { rank, standing }
    }
}

impl Standing {
    /// The standing of a request that its caller sent with the time `stated` left, where those
    /// who send one on this route for the first time state `usual`. A caller that repeats at once
    /// has about as much left as it had at first, and counts as new.
    pub fn of_caller(stated: Duration, usual: Duration) -> Standing {
        match usual.saturating_sub(stated) >= MIN_RETURN_TIME {
            true => Standing::Returned,
            false => Standing::New,
        }
    }

    /// The share of the room that such a request may use, where new ones may use `share`.
    pub fn share(self, share: f64) -> f64 {
        match self {
            Standing::Resumed => 1.0,
            Standing::Returned => (1.0 + share) / 2.0,
            Standing::New | Standing::Repeated => share,
        }
    }

    /// Name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Standing::Resumed => "resumed",
            Standing::Returned => "returned",
            Standing::New => "new",
            Standing::Repeated => "repeated",
        }
    }
}
