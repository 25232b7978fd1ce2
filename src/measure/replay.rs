//! Replay of one trace under one policy, in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use crate::decide::{ChatPlace, SentTokens, combine, hash_bytes};
use crate::measure::figures::Sample;
use crate::measure::{EngineModel, Figures, Policy, PrefixCache, RouterModel, Step, Trace};

/// Pause between two looks of an engine at its own load.
const NOTE_EVERY: Duration = Duration::from_millis(100);
/// Slots of an engine with weight 1.
const USUAL_SLOTS: f64 = 128.0;
/// Bytes of one engine's load on its way to a router.
const LOAD_BYTES: u64 = 24;
/// Bytes of one change of the list on its way to a router.
const LIST_BYTES: u64 = 64;

key! {
    /// What happens next.
    pub(super) enum Event {
        Line(usize),
        Done { engine: usize, incarnation: u64, ask: usize },
        Listed { router: usize, engine: usize, incarnation: u64, live: bool },
        Poll { router: usize },
        Note,
        Sample,
    }
}

/// A request on its way.
pub(super) struct Flight {
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
    pub(super) flights: HashMap<usize, Flight>,
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
        flights: HashMap::new(),
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
        self.push(Duration::ZERO, Event::Note);
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
            Event::Done { engine, incarnation, ask } => self.done(engine, incarnation, ask),
            Event::Listed { router, engine, incarnation, live } => {
                self.listed(router, engine, incarnation, live);
            }
            Event::Poll { router } => self.poll(router),
            Event::Note => {
                let keep = self.lag + Duration::from_secs(1);
                for it in self.engines.iter_mut().filter(|it| it.up) {
                    it.note(self.now, keep);
                }
                self.push(self.now + NOTE_EVERY, Event::Note);
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
            Step::Ask(ask) => self.ask(index, ask),
            Step::Lag { lag_ms } => self.lag = Duration::from_millis(*lag_ms),
            Step::Join { engine, domain, slots, cache, read, write } => {
                let at = self.join(hash_bytes(engine.as_bytes()));
                let it = &mut self.engines[at];
                it.domain = hash_bytes(domain.as_bytes());
                it.slots = *slots as usize;
                it.cache = PrefixCache::new(*cache);
                (it.read, it.write) = (*read, *write);
                self.spread(at, true);
            }
            Step::Leave { engine } => {
                if let Some(&at) = self.index.get(&hash_bytes(engine.as_bytes())) {
                    self.engines[at].leaving = true;
                    self.spread(at, false);
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
            self.spread(at, false);
        }
        let trace = self.trace;
        for ask in lost {
            self.land(ask);
            if let Some(Step::Ask(it)) = trace.lines.get(ask).map(|it| &it.step) {
                self.send(ask, it);
            }
        }
    }

    /// Tells every router of a change of the list, each after a time of its own.
    fn spread(&mut self, engine: usize, live: bool) {
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
            router.list(it.id, incarnation, it.slots as f64 / USUAL_SLOTS);
        } else if router.find(it.id).is_some_and(|known| known.incarnation <= incarnation) {
            router.unlist(it.id);
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
            if let Some((load, incarnation)) = it.report(at) {
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
        let largest = open.iter().map(|it| it.largest(self.now) / it.slots as f64);
        let requests: usize = open.iter().map(|it| it.running.len() + it.queue.len()).sum();
        self.figures.samples.push(Sample {
            most: loads.iter().map(|it| it.0 / it.1).fold(0.0, f64::max),
            mean: if slots > 0.0 { total / slots } else { 0.0 },
            largest: largest.fold(0.0, f64::max),
            busy: requests >= open.len(),
        });
    }
}
