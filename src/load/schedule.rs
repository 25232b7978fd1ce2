//! When which requests are sent.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::load::LoadOptions;

/// Share of issued keys among calls that may not be repeated.
const ISSUED: f64 = 0.5;
/// Fewest and most tokens of an answer.
const TOKENS: (u32, u32) = (8, 64);

key! {
    /// Kinds of requests.
    pub enum Kind {
        /// A chat request with a whole answer.
        Whole,
        /// A chat request with a streamed answer.
        Stream,
        /// A call that may not be repeated, under a key of the caller's own.
        Once,
        /// The same under a key that a router issued.
        Issued,
    }

    /// One request.
    pub struct ScheduledRequest {
        /// When it is sent, from the start of the run.
        pub at: Duration,
        /// Kind.
        pub kind: Kind,
        /// Index of the organisation.
        pub organisation: usize,
        /// Whether it continues a chat, where one waits.
        pub returning: bool,
        /// Picks among the chats that wait.
        pub pick: u64,
        /// Tokens of the answer.
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

/// Requests in the order of their times: a Poisson process that does not wait
/// for answers.
#[derive(Debug)]
pub struct Schedule {
    rng: ChaCha8Rng,
    options: LoadOptions,
    at: f64,
}

impl Schedule {
    /// The schedule of `options`; the same for the same options.
    pub fn new(options: &LoadOptions) -> Schedule {
        let rng = ChaCha8Rng::seed_from_u64(options.seed);
        Schedule { rng, options: options.clone(), at: 0.0 }
    }

    fn kind(&mut self) -> Kind {
        if self.rng.random_bool(self.options.once) {
            if self.rng.random_bool(ISSUED) { Kind::Issued } else { Kind::Once }
        } else if self.rng.random_bool(self.options.streams) {
            Kind::Stream
        } else {
            Kind::Whole
        }
    }

    /// An organisation; the first ones more often.
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
            pick: self.rng.random(),
            tokens: self.rng.random_range(TOKENS.0..=TOKENS.1),
        })
    }
}
