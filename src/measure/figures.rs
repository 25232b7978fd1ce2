//! Counters and samples of a replay.

use std::collections::BTreeMap;
use std::time::Duration;

plain! {
    /// True loads of the engines at one moment, relative to their slots.
    #[derive(Copy)]
    pub struct Sample {
        /// Load of the busiest engine.
        pub max: f64,
        /// Mean load of the engines that take new work.
        pub mean: f64,
        /// Largest remaining work of one request.
        pub largest: f64,
        /// Whether at least as many requests as engines were in flight.
        pub busy: bool,
    }

    /// Completed requests of one organisation.
    #[derive(Default)]
    pub struct Service {
        /// Requests done.
        pub done: u64,
        /// Sum over its requests of the time taken divided by the time on an idle engine.
        pub slowdown: f64,
    }

    /// All counters and samples of one replay.
    #[derive(Default)]
    pub struct Figures {
        /// Requests sent by callers.
        pub requests: u64,
        /// Requests done.
        pub done: u64,
        /// Requests refused.
        pub refused: u64,
        /// Requests placed on an engine that was not the first of the rank.
        pub spilled: u64,
        /// Requests placed on an engine that was leaving.
        pub late: u64,
        /// Prompt tokens that an earlier request of the same chat had already carried.
        pub history: u64,
        /// Of these, tokens found in the prefix cache.
        pub cached: u64,
        /// Loads over time.
        pub samples: Vec<Sample>,
        /// By organisation.
        pub service: BTreeMap<String, Service>,
        /// Control traffic of all routers, in bytes.
        pub bytes: u64,
        /// Routers.
        pub routers: u64,
        /// Length of the replay.
        pub time: Duration,
    }
}

impl Sample {
    /// Load of the busiest engine divided by the mean load.
    pub fn skew(&self) -> f64 {
        if self.mean > 0.0 { self.max / self.mean } else { 1.0 }
    }
}

impl Figures {
    /// Share of the repeated tokens that were cached, in percent.
    pub fn reuse(&self) -> f64 {
        100.0 * self.cached as f64 / self.history.max(1) as f64
    }

    /// Jain's fairness index of the organisations' mean slowdowns: 1 when all are equal
    /// (Jain, Chiu and Hawe 1984).
    pub fn fairness(&self) -> f64 {
        let means = self.service.values().filter(|it| it.done > 0);
        let means: Vec<f64> = means.map(|it| it.slowdown / it.done as f64).collect();
        let sum: f64 = means.iter().sum();
        let squares: f64 = means.iter().map(|it| it * it).sum();
        if squares > 0.0 { sum * sum / (means.len() as f64 * squares) } else { 1.0 }
    }

    /// Mean slowdown of all completed requests.
    pub fn slowdown(&self) -> f64 {
        let sum: f64 = self.service.values().map(|it| it.slowdown).sum();
        sum / self.done.max(1) as f64
    }

    /// Control bytes per router per second.
    pub fn byte_rate(&self) -> f64 {
        let seconds = self.time.as_secs_f64().max(1e-9);
        self.bytes as f64 / self.routers.max(1) as f64 / seconds
    }

    /// Indexes of the samples at which `bound` can be met: no single request is larger than
    /// the margin that the bound leaves above the mean, and this replay met the bound.
    pub fn can_meet(&self, bound: f64) -> Vec<usize> {
        let feasible = |it: &Sample| it.busy && it.largest <= it.mean * (bound - 1.0);
        let met = |it: &Sample| it.skew() <= bound;
        let all = self.samples.iter().enumerate();
        all.filter(|(_, it)| feasible(it) && met(it)).map(|(i, _)| i).collect()
    }
}
