//! Detection of backend servers that fail far more of their requests than the others.

/// Failures below which a server is not judged.
const MIN_FAILURES: f64 = 3.0;
/// Failures below which an avoided server gets requests again.
const RECOVERED_FAILURES: f64 = 1.0;
/// Failure rate below which no server is avoided.
const MIN_FAILURE_RATE: f64 = 0.2;
/// A server is avoided when its failure rate is this many times that of the others.
const MIN_RATE_RATIO: f64 = 3.0;

/// Results of requests to a backend server, summed over all routers and decaying with
/// age.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Results {
    /// Requests that succeeded.
    pub good: f64,
    /// Requests that failed.
    pub bad: f64,
}

impl Results {
    /// Returns the sum of both results.
    pub fn and(self, other: Results) -> Results {
        Results { good: self.good + other.good, bad: self.bad + other.bad }
    }

    fn rate(self) -> f64 {
        self.bad / (self.good + self.bad).max(1.0)
    }
}

/// Whether a server with results `own` is to be avoided; `all` sums the results of all
/// servers of its service, its own included. A server that is already `avoided` stays
/// so until its failures have nearly decayed.
///
/// A server is compared with the others because some requests fail at any server.
pub fn is_failing(own: Results, all: Results, avoided: bool) -> bool {
    if avoided {
        return own.bad >= RECOVERED_FAILURES;
    }
    let others = Results { good: all.good - own.good, bad: all.bad - own.bad };
    own.bad >= MIN_FAILURES
        && own.rate() >= MIN_FAILURE_RATE
        && own.rate() >= MIN_RATE_RATIO * others.rate()
}

/// Returns how many of `count` servers may be avoided so that the others can still
/// carry the load.
pub fn max_avoided(count: usize) -> usize {
    count / 3
}
