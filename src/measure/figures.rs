//! What a replay counts.

use std::collections::BTreeMap;
use std::time::Duration;

plain! {
    /// True loads at one moment, relative to the slots.
    #[derive(Copy)]
    pub struct Sample {
        /// Busiest engine.
        pub max: f64,
        /// Mean of the engines that take work.
        pub mean: f64,
        /// Largest rest of one request.
        pub largest: f64,
        /// Whether there are at least as many requests as engines.
        pub busy: bool,
    }

    /// Requests of one organisation.
    #[derive(Default)]
    pub struct Service {
        /// Requests done.
        pub done: u64,
        /// Sum of the time taken over the time alone on an idle engine.
        pub slowdown: f64,
    }

    /// All that one replay counted.
    #[derive(Default)]
    pub struct Figures {
        /// Requests sent by callers.
        pub requests: u64,
        /// Requests done.
        pub done: u64,
        /// Requests refused.
        pub refused: u64,
        /// Requests passed over to a later one of the rank.
        pub spilled: u64,
        /// Requests given to an engine that was leaving.
        pub late: u64,
        /// Tokens that returning chats brought again.
        pub history: u64,
        /// Of these, found cached.
        pub cached: u64,
        /// Loads over time.
        pub samples: Vec<Sample>,
        /// By organisation.
        pub service: BTreeMap<String, Service>,
        /// Control bytes of all routers.
        pub bytes: u64,
        /// Routers.
        pub routers: u64,
        /// Time replayed.
        pub time: Duration,
    }
}

impl Sample {
    /// Busiest over mean.
    pub fn skew(&self) -> f64 {
        if self.mean > 0.0 { self.max / self.mean } else { 1.0 }
    }
}

impl Figures {
    /// Share of the returned tokens that were cached, in percent.
    pub fn reuse(&self) -> f64 {
        100.0 * self.cached as f64 / self.history.max(1) as f64
    }

    /// Jain's index of the organisations' mean slowdowns: 1 when all are alike
    /// (Jain, Chiu and Hawe 1984).
    pub fn fairness(&self) -> f64 {
        let means = self.service.values().filter(|it| it.done > 0);
        let means: Vec<f64> = means.map(|it| it.slowdown / it.done as f64).collect();
        let sum: f64 = means.iter().sum();
        let squares: f64 = means.iter().map(|it| it * it).sum();
        if squares > 0.0 { sum * sum / (means.len() as f64 * squares) } else { 1.0 }
    }

    /// Mean slowdown of all requests.
    pub fn slowdown(&self) -> f64 {
        let sum: f64 = self.service.values().map(|it| it.slowdown).sum();
        sum / self.done.max(1) as f64
    }

    /// Control bytes per router per second.
    pub fn byte_rate(&self) -> f64 {
        let seconds = self.time.as_secs_f64().max(1e-9);
        self.bytes as f64 / self.routers.max(1) as f64 / seconds
    }

    /// Indexes of the samples at which `bound` can be met: one request is no
    /// larger than what the bound leaves above the mean, and this run met it.
    pub fn can_meet(&self, bound: f64) -> Vec<usize> {
        let good = |it: &Sample| it.busy && it.largest <= it.mean * (bound - 1.0);
        let met = |it: &Sample| it.skew() <= bound;
        let all = self.samples.iter().enumerate();
        all.filter(|(_, it)| good(it) && met(it)).map(|(i, _)| i).collect()
    }
}
