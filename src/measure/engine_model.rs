//! A simple engine: slots, a queue and a prefix cache.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::measure::PrefixCache;

plain! {
    /// One request at an engine.
    #[derive(Copy)]
    pub struct Job {
        /// Index of the request.
        pub request: usize,
        /// Chat and model.
        pub chat: u64,
        /// Tokens of the prompt.
        pub prompt: u64,
        /// Tokens of the answer.
        pub answer: u64,
        /// Tokens of the prompt that are not cached.
        pub uncached: u64,
        /// When it began to run.
        pub start: Duration,
        /// When it is done.
        pub end: Duration,
    }
}

/// An engine.
#[derive(Debug)]
pub struct EngineModel {
    /// Hash of the name.
    pub id: u64,
    /// Starts so far.
    pub incarnation: u64,
    /// Failure domain.
    pub domain: u64,
    /// Whether it answers.
    pub up: bool,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Requests that run at once.
    pub slots: usize,
    /// Its prefix cache.
    pub cache: PrefixCache,
    /// Running requests by index.
    pub running: BTreeMap<usize, Job>,
    /// Waiting requests, oldest first.
    pub queue: VecDeque<Job>,
    /// Tokens that one request reads a second.
    pub read: f64,
    /// Tokens that one request writes a second.
    pub write: f64,
    /// Pace of requests that start from now on; 1 is usual.
    pub pace: f64,
    /// Past loads in the order of time, for reports.
    pub history: VecDeque<(Duration, u64, u64)>,
}

impl EngineModel {
    /// An engine without slots, up for the first time.
    pub fn new(id: u64) -> EngineModel {
        EngineModel {
            id,
            incarnation: 1,
            domain: 0,
            up: true,
            leaving: false,
            slots: 1,
            cache: PrefixCache::default(),
            running: BTreeMap::new(),
            queue: VecDeque::new(),
            read: 1.0,
            write: 1.0,
            pace: 1.0,
            history: VecDeque::new(),
        }
    }

    /// Whether it is up and takes new work.
    pub fn is_open(&self) -> bool {
        self.up && !self.leaving
    }

    /// Tokens still to read or write at `now`, the queue included.
    pub fn load(&self, now: Duration) -> f64 {
        let running: f64 = self.running.values().map(|it| self.remaining(it, now)).sum();
        let queued: u64 = self.queue.iter().map(|it| it.uncached + it.answer).sum();
        running + queued as f64
    }

    /// Tokens of a running job that are left at `now`.
    fn remaining(&self, job: &Job, now: Duration) -> f64 {
        let total = (job.end - job.start).as_secs_f64();
        let passed = now.saturating_sub(job.start).as_secs_f64();
        let reading = job.uncached as f64 / self.read;
        let writing = job.answer as f64 / self.write;
        let pace = if total > 0.0 { (reading + writing) / total } else { 1.0 };
        let passed = passed * pace;
        if passed < reading {
            return (reading - passed) * self.read + job.answer as f64;
        }
        (reading + writing - passed).max(0.0) * self.write
    }

    /// Largest rest of one request at `now`.
    pub fn max_remaining(&self, now: Duration) -> f64 {
        let running = self.running.values().map(|it| self.remaining(it, now));
        let queued = self.queue.iter().map(|it| (it.uncached + it.answer) as f64);
        running.chain(queued).fold(0.0, f64::max)
    }

    /// Notes the load for later reports; forgets what is older than `keep`.
    pub fn record_load(&mut self, now: Duration, keep: Duration) {
        let load = self.load(now) as u64;
        self.history.push_back((now, load, self.incarnation));
        while self.history.len() > 2 && now.saturating_sub(self.history[1].0) > keep {
            self.history.pop_front();
        }
    }

    /// Load and incarnation as they were at `at`.
    pub fn load_at(&self, at: Duration) -> Option<(u64, u64)> {
        let past = self.history.partition_point(|it| it.0 <= at);
        let found = self.history.get(past.checked_sub(1)?)?;
        Some((found.1, found.2))
    }

    /// Queues a request.
    pub fn enqueue(&mut self, mut job: Job) {
        job.uncached = job.prompt.saturating_sub(self.cache.cached_tokens(job.chat));
        self.queue.push_back(job);
    }

    /// Starts the oldest waiting request if a slot is free.
    pub fn start_next(&mut self, now: Duration) -> Option<Job> {
        if self.running.len() >= self.slots {
            return None;
        }
        let mut job = self.queue.pop_front()?;
        job.uncached = job.prompt.saturating_sub(self.cache.cached_tokens(job.chat));
        let seconds = job.uncached as f64 / self.read + job.answer as f64 / self.write;
        job.start = now;
        job.end = now + Duration::from_secs_f64(seconds / self.pace);
        self.cache.insert(job.chat, job.prompt);
        self.running.insert(job.request, job);
        Some(job)
    }

    /// Removes the request `request` when it is done.
    pub fn finish(&mut self, request: usize) -> Option<Job> {
        let job = self.running.remove(&request)?;
        self.cache.insert(job.chat, job.prompt + job.answer);
        Some(job)
    }

    /// Goes down; tells which requests are lost.
    pub fn crash(&mut self) -> Vec<usize> {
        self.up = false;
        let running = std::mem::take(&mut self.running);
        let queued = std::mem::take(&mut self.queue);
        running.into_keys().chain(queued.into_iter().map(|it| it.request)).collect()
    }
}
