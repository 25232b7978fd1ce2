//! Schedule of the requests.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::load::LoadOptions;

/// Share of at-most-once calls under a key that a router issued.
const ISSUED_SHARE: f64 = 0.5;
/// Minimum and maximum length of an answer in tokens.
const ANSWER_TOKENS: (u32, u32) = (8, 64);

key! {
    /// Kinds of requests.
    pub enum Kind {
        /// A chat request whose answer comes as one message.
        Whole,
        /// A chat request with a streamed answer.
        Stream,
        /// An at-most-once call under a key that the caller chose.
        Once,
        /// An at-most-once call under a key that a router issued.
        Issued,
    }

    /// One request of the schedule.
    pub struct ScheduledRequest {
        /// When it is due, from the start of the run.
        pub at: Duration,
        /// Kind of the request.
        pub kind: Kind,
        /// Index of the organisation.
        pub organisation: usize,
        /// Whether it continues an idle chat, if there is one.
        pub returning: bool,
        /// Random number that selects routers and chats and makes texts and keys unique.
        pub random: u64,
        /// Length of the answer in tokens.
        pub tokens: u32,
    }
}

impl Kind {
    /// All kinds.
    pub const ALL: [Kind; 4] = [Kind::Whole, Kind::Stream, Kind::Once, Kind::Issued];

    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Kind::Whole => "whole",
            Kind::Stream => "stream",
            Kind::Once => "once",
            Kind::Issued => "issued",
        }
    }
}

/// Iterator over the requests in order of time: a Poisson process that does not wait
/// for answers.
#[derive(Debug)]
pub struct Schedule {
    rng: ChaCha8Rng,
    options: LoadOptions,
    at: f64,
}

impl Schedule {
    /// The schedule of `options`; equal options give equal schedules.
    pub fn new(options: &LoadOptions) -> Schedule {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        Schedule { rng, options: options.clone(), at: 0.0 }
    }

    fn kind(&mut self) -> Kind {
        if self.rng.random_bool(self.options.once) {
            if self.rng.random_bool(ISSUED_SHARE) { Kind::Issued } else { Kind::Once }
        } else if self.rng.random_bool(self.options.streams) {
            Kind::Stream
        } else {
            Kind::Whole
        }
    }

    /// A random organisation; the first ones are more likely.
    fn organisation(&mut self) -> usize {
        let unit: f64 = self.rng.random();
        let index = (unit * unit * self.options.organisations as f64) as usize;
        index.min(self.options.organisations - 1)
    }
}

impl Iterator for Schedule {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        let unit: f64 = self.rng.random();
        self.at -= (1.0 - unit).ln() / self.options.rate;
        if self.at >= self.options.time.as_secs_f64() {
            return None;
        }
        Some(ScheduledRequest {
            at: Duration::from_secs_f64(self.at),
            kind: self.kind(),
            organisation: self.organisation(),
            returning: self.rng.random_bool(self.options.returning),
            random: self.rng.random(),
            tokens: self.rng.random_range(ANSWER_TOKENS.0..=ANSWER_TOKENS.1),
        })
    }
}
