//! Which backend servers fail far more of their requests than the others.

/// Failures below which a server is not judged.
const MIN_BAD: f64 = 3.0;
/// Failures below which a server that was avoided is tried again.
const FORGIVEN_BAD: f64 = 1.0;
/// Share of failures below which no server is avoided.
const MIN_RATE: f64 = 0.2;
/// A server is avoided when it fails this many times as often as the others.
const FACTOR: f64 = 3.0;

/// Results of a backend server at all routers, older ones counting less.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Results {
    /// Requests that went well.
    pub good: f64,
    /// Requests that did not.
    pub bad: f64,
}

impl Results {
    /// The sum of both.
    pub fn and(self, other: Results) -> Results {
        Results { good: self.good + other.good, bad: self.bad + other.bad }
    }

    fn rate(self) -> f64 {
        self.bad / (self.good + self.bad).max(1.0)
    }
}

/// Whether a server with results `own` is to be avoided beside the others of its
/// service, all of whose results together with its own are `all`. A server that
/// is `avoided` already is so until its failures are nearly forgotten.
///
/// Judged against the others, as a request may fail anywhere for its own sake.
pub fn is_failing(own: Results, all: Results, avoided: bool) -> bool {
    if avoided {
        return own.bad >= FORGIVEN_BAD;
    }
    let others = Results { good: all.good - own.good, bad: all.bad - own.bad };
    own.bad >= MIN_BAD && own.rate() >= MIN_RATE && own.rate() >= FACTOR * others.rate()
}

/// How many of `count` servers may be avoided, so that the others can carry the load.
pub fn max_avoided(count: usize) -> usize {
    count / 3
}
