//! Replay of one trace under one policy, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::decide::{ChatPlace, SentTokens, combine, hash_bytes};
use crate::measure::figures::Sample;
use crate::measure::{EngineModel, Figures, Policy, PrefixCache, RouterModel, Step, Trace};

/// Pause between two looks of an engine at its own load.
const RECORD_LOAD_EVERY: Duration = Duration::from_millis(100);
/// Slots of an engine with weight 1.
const WEIGHT_ONE_SLOTS: f64 = 128.0;
/// Bytes of one engine's load on its way to a router.
const LOAD_BYTES: u64 = 24;
/// Bytes of one change of the list on its way to a router.
const LIST_BYTES: u64 = 64;

key! {
    /// What happens next.
    pub(super) enum Event {
        Line(usize),
        Done { engine: usize, incarnation: u64, request: usize },
        Listed { router: usize, engine: usize, incarnation: u64, live: bool },
        Poll { router: usize },
        RecordLoad,
        Sample,
    }
}

/// A request on its way.
pub(super) struct InFlightRequest {
    pub(super) router: usize,
    pub(super) engine: u64,
    pub(super) incarnation: u64,
    pub(super) sent: Arc<SentTokens>,
    pub(super) cost: u64,
    pub(super) at: Duration,
}

/// The state of a replay.
pub(super) struct Replay<'a> {
    pub(super) trace: &'a Trace,
    pub(super) policy: &'a Policy,
    pub(super) engines: Vec<EngineModel>,
    /// Index by hash of the name.
    pub(super) index: HashMap<u64, usize>,
    pub(super) routers: Vec<RouterModel>,
    pub(super) queue: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    pub(super) seq: u64,
    pub(super) now: Duration,
    pub(super) lag: Duration,
    pub(super) in_flight: HashMap<usize, InFlightRequest>,
    /// Hint of the last answer by chat.
    pub(super) hints: HashMap<u64, ChatPlace>,
    /// Tokens of the last prompt and answer by chat.
    pub(super) history: HashMap<u64, u64>,
    pub(super) figures: Figures,
}

/// Replays `trace` under `policy`.
pub fn replay(trace: &Trace, policy: &Policy) -> Figures {
    let head = &trace.head;
    let count = head.routers as usize;
    let mut replay = Replay {
        trace,
        policy,
        engines: Vec::new(),
        index: HashMap::new(),
        routers: (0..count).map(|_| RouterModel::new()).collect(),
        queue: BinaryHeap::new(),
        seq: 0,
        now: Duration::ZERO,
        lag: Duration::from_millis(head.lag_ms),
        in_flight: HashMap::new(),
        hints: HashMap::new(),
        history: HashMap::new(),
        figures: Figures { routers: head.routers, ..Figures::default() },
    };
    replay.run();
    let mut figures = replay.figures;
    figures.bytes = replay.routers.iter().map(|it| it.bytes).sum();
    figures.time = Duration::from_millis(head.end_ms);
    figures
}

impl Replay<'_> {
    fn run(&mut self) {
        let head = &self.trace.head;
        let end = Duration::from_millis(head.end_ms);
        let period = head.report_ms;
        self.push(Duration::ZERO, Event::Line(0));
        self.push(Duration::ZERO, Event::RecordLoad);
        self.push(Duration::from_millis(head.sample_ms), Event::Sample);
        for router in 0..self.routers.len() {
            let phase = combine(1, router as u64) % period;
            self.push(Duration::from_millis(phase), Event::Poll { router });
        }
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > end {
                return;
            }
            self.now = at;
            self.handle(event);
        }
    }

    pub(super) fn push(&mut self, at: Duration, event: Event) {
        self.seq += 1;
        self.queue.push(Reverse((at, self.seq, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Line(line) => self.line(line),
            Event::Done { engine, incarnation, request } => self.done(engine, incarnation, request),
            Event::Listed { router, engine, incarnation, live } => {
                self.listed(router, engine, incarnation, live);
            }
            Event::Poll { router } => self.poll(router),
            Event::RecordLoad => {
                let keep = self.lag + Duration::from_secs(1);
                for it in self.engines.iter_mut().filter(|it| it.up) {
                    it.record_load(self.now, keep);
                }
                self.push(self.now + RECORD_LOAD_EVERY, Event::RecordLoad);
            }
            Event::Sample => {
                self.sample();
                let pause = Duration::from_millis(self.trace.head.sample_ms);
                self.push(self.now + pause, Event::Sample);
            }
        }
    }

    fn line(&mut self, index: usize) {
        let trace = self.trace;
        let Some(line) = trace.lines.get(index) else {
            return;
        };
        if let Some(next) = trace.lines.get(index + 1) {
            self.push(Duration::from_millis(next.at_ms), Event::Line(index + 1));
        }
        match &line.step {
            Step::Request(request) => self.begin_request(index, request),
            Step::Lag { lag_ms } => self.lag = Duration::from_millis(*lag_ms),
            Step::Join { engine, domain, slots, cache, read, write } => {
                let at = self.join(hash_bytes(engine.as_bytes()));
                let it = &mut self.engines[at];
                it.domain = hash_bytes(domain.as_bytes());
                it.slots = *slots as usize;
                it.cache = PrefixCache::new(*cache);
                (it.read, it.write) = (*read, *write);
                self.announce(at, true);
            }
            Step::Leave { engine } => {
                if let Some(&at) = self.index.get(&hash_bytes(engine.as_bytes())) {
                    self.engines[at].leaving = true;
                    self.announce(at, false);
                }
            }
            Step::Pace { engine, factor } => {
                if let Some(&at) = self.index.get(&hash_bytes(engine.as_bytes())) {
                    self.engines[at].pace = *factor;
                }
            }
            Step::Crash { engine } => {
                if let Some(&at) = self.index.get(&hash_bytes(engine.as_bytes())) {
                    self.crash(at);
                }
            }
        }
    }

    /// Starts the engine with `id`; tells its index.
    fn join(&mut self, id: u64) -> usize {
        if let Some(&at) = self.index.get(&id) {
            self.crash(at);
            let it = &mut self.engines[at];
            it.incarnation += 1;
            (it.up, it.leaving) = (true, false);
            it.history.clear();
            return at;
        }
        self.engines.push(EngineModel::new(id));
        self.index.insert(id, self.engines.len() - 1);
        self.engines.len() - 1
    }

    fn crash(&mut self, at: usize) {
        let was_up = self.engines[at].up;
        let lost = self.engines[at].crash();
        if was_up {
            self.announce(at, false);
        }
        let trace = self.trace;
        for request in lost {
            self.remove_in_flight(request);
            if let Some(Step::Request(it)) = trace.lines.get(request).map(|it| &it.step) {
                self.send(request, it);
            }
        }
    }

    /// Tells every router of a change of the list, each after a time of its own.
    fn announce(&mut self, engine: usize, live: bool) {
        let incarnation = self.engines[engine].incarnation;
        for router in 0..self.routers.len() {
            let seed = combine(self.now.as_millis() as u64, (router * 10_007 + engine) as u64);
            let delay = Duration::from_millis(seed % (self.trace.head.list_ms + 1));
            let at = if self.now.is_zero() { self.now } else { self.now + delay };
            self.push(at, Event::Listed { router, engine, incarnation, live });
        }
    }

    fn listed(&mut self, router: usize, engine: usize, incarnation: u64, live: bool) {
        let it = &self.engines[engine];
        let router = &mut self.routers[router];
        router.bytes += LIST_BYTES;
        if live {
            if let Some(sent) = router.sent.get(&it.id) {
                sent.record_report();
            }
            router.add_engine(it.id, incarnation, it.slots as f64 / WEIGHT_ONE_SLOTS);
        } else if router.find(it.id).is_some_and(|known| known.incarnation <= incarnation) {
            router.remove_engine(it.id);
        }
    }

    fn poll(&mut self, index: usize) {
        let at = self.now.saturating_sub(self.lag);
        let router = &mut self.routers[index];
        for known in &mut router.engines {
            let it = &self.engines[self.index[&known.id]];
            if !it.up {
                known.leaving = true;
                continue;
            }
            if let Some((load, incarnation)) = it.load_at(at) {
                known.reported = load;
                known.incarnation = known.incarnation.max(incarnation);
                known.leaving = false;
            }
            known.sent.record_report();
        }
        if self.policy.needs_load {
            router.bytes += LOAD_BYTES * router.engines.len() as u64;
        }
        let pause = Duration::from_millis(self.trace.head.report_ms);
        self.push(self.now + pause, Event::Poll { router: index });
    }

    fn sample(&mut self) {
        let open: Vec<&EngineModel> = self.engines.iter().filter(|it| it.is_open()).collect();
        let loads: Vec<(f64, f64)> =
            open.iter().map(|it| (it.load(self.now), it.slots as f64)).collect();
        let total: f64 = loads.iter().map(|it| it.0).sum();
        let slots: f64 = loads.iter().map(|it| it.1).sum();
        let largest = open.iter().map(|it| it.max_remaining(self.now) / it.slots as f64);
        let requests: usize = open.iter().map(|it| it.running.len() + it.queue.len()).sum();
        self.figures.samples.push(Sample {
            max: loads.iter().map(|it| it.0 / it.1).fold(0.0, f64::max),
            mean: if slots > 0.0 { total / slots } else { 0.0 },
            largest: largest.fold(0.0, f64::max),
            busy: requests >= open.len(),
        });
    }
}
