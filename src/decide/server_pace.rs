//! How long work takes at a backend server at present, as a multiple of the usual time.

use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// Time over which reports are averaged.
const AVERAGING_TIME: Duration = Duration::from_secs(3);
/// Reports with this time between them count in full; of those in quicker succession each counts
/// less, as they tell of the same moment.
const REPORT_SPACING: Duration = Duration::from_millis(100);
/// Weight of the reports below which nothing is known of a server's pace.
const MIN_WEIGHT: f64 = 0.02;
/// Limits on the pace that a report may name, as a multiple of the usual time.
const MIN_REPORT: f64 = 0.01;
const MAX_REPORT: f64 = 100.0;
/// Factor between two levels.
const LEVEL_FACTOR: f64 = 1.25;
/// Levels below and above the mean of the service that a server may have.
const MAX_LEVEL: i8 = 6;
/// Distance from a level, in levels, up to which a server keeps it, so that prefixes stay too.
const LEVEL_BAND: f64 = 0.75;
/// Time between two changes of a server's level, so that routers that hear the same reports do not
/// all turn to or from it at once.
const LEVEL_TIME: Duration = Duration::from_millis(450);
/// Limits on the mean of a service.
const MIN_MEAN: f64 = 0.25;
const MAX_MEAN: f64 = 4.0;

plain! {
    /// What a server reported of its pace.
    #[derive(Copy)]
    pub struct PaceReport {
        /// The time that work takes, as a multiple of the usual.
        pub factor: f64,
        /// When it said so.
        pub at: Instant,
    }

    /// What a decision uses of a server's pace.
    #[derive(Copy)]
    pub struct PaceReading {
        /// The time that work takes, as a multiple of the usual.
        pub factor: f64,
        /// Age of the newest report of the server.
        pub age: Duration,
    }

    /// What the reports of one server show.
    #[derive(Copy)]
    pub struct PaceEvidence {
        /// Mean of the reports, newer ones weighted more.
        pub mean: f64,
        /// Their mean squared distance from it.
        pub variance: f64,
        /// Sum of their weights.
        pub weight: f64,
    }
}

impl PaceReport {
    /// The report that work takes `factor` times the usual time; `None` if that is impossible.
    pub fn new(factor: f64, at: Instant) -> Option<PaceReport> {
        (MIN_REPORT..=MAX_REPORT).contains(&factor).then_some(PaceReport { factor, at })
    }
}

/// Sums over the reports of one server, with exponential decay.
#[derive(Debug, Clone, Copy)]
struct Sums {
    weight: f64,
    factors: f64,
    squares: f64,
    /// When the newest report was made; the sums are as of then.
    newest: Instant,
}

impl Sums {
    fn first(report: PaceReport) -> Sums {
        let PaceReport { factor, at } = report;
        Sums { weight: 1.0, factors: factor, squares: factor * factor, newest: at }
    }

    fn with(self, report: PaceReport) -> Sums {
        let PaceReport { factor, at } = report;
        let kept = decay(self.newest, at, AVERAGING_TIME);
        let weight = 1.0 - decay(self.newest, at, REPORT_SPACING);
        Sums {
            weight: self.weight * kept + weight,
            factors: self.factors * kept + weight * factor,
            squares: self.squares * kept + weight * factor * factor,
            newest: at,
        }
    }

    fn evidence(&self, now: Instant) -> Option<PaceEvidence> {
        let weight = self.weight * decay(self.newest, now, AVERAGING_TIME);
        let mean = self.factors / self.weight;
        let variance = (self.squares / self.weight - mean * mean).max(0.0);
        (weight >= MIN_WEIGHT).then_some(PaceEvidence { mean, variance, weight })
    }
}

/// Share of a weight of `since` that is left at `now`.
fn decay(since: Instant, now: Instant, time: Duration) -> f64 {
    let elapsed = now.saturating_duration_since(since).as_secs_f64();
    (-elapsed / time.as_secs_f64()).exp()
}

#[derive(Debug, Default)]
struct State {
    sums: Option<Sums>,
    /// The newest report that this router got from the server itself.
    own: Option<PaceReport>,
    /// The newest thing that the server said of its pace could not be read.
    is_unreadable: bool,
    /// How much slower than the mean of its service it counts, in levels.
    level: i8,
    /// When the level last changed.
    changed: Option<Instant>,
}

/// The pace of one server, from what it reports with its answers to this router and to others.
#[derive(Debug)]
pub struct ServerPace {
    state: Mutex<State>,
    /// Bits of the factor in use: a decision reads the factors of all servers of a service.
    factor: AtomicU64,
}

impl Default for ServerPace {
    fn default() -> ServerPace {
        ServerPace { state: Mutex::default(), factor: AtomicU64::new(1.0f64.to_bits()) }
    }
}

impl ServerPace {
    /// Records a report that this router got from the server.
    pub fn record(&self, report: PaceReport) {
        let mut state = self.state.lock().unwrap();
        state.own = Some(report);
        state.is_unreadable = false;
        state.add(report);
    }

    /// Records a report that another router got from the server. It counts if it is newer than all
    /// that are known: a message may come twice.
    pub fn merge(&self, report: PaceReport) {
        self.state.lock().unwrap().add(report);
    }

    /// Records that what the server said of its pace could not be read: it counts as usual until
    /// it says better.
    pub fn record_unreadable(&self) {
        let mut state = self.state.lock().unwrap();
        state.is_unreadable = true;
        state.sums = None;
    }

    /// The factor in use and the age of the newest report behind it; `None` without a report.
    pub fn reading(&self, now: Instant) -> Option<PaceReading> {
        let newest = self.state.lock().unwrap().sums?.newest;
        Some(PaceReading { factor: self.factor(), age: now.saturating_duration_since(newest) })
    }

    /// The newest report that this router got from the server itself.
    pub fn own_report(&self) -> Option<PaceReport> {
        self.state.lock().unwrap().own
    }

    /// What the reports show at `now`; `None` while they are too few or too old.
    pub fn evidence(&self, now: Instant) -> Option<PaceEvidence> {
        self.state.lock().unwrap().sums?.evidence(now)
    }

    /// The time that work takes, as a multiple of the usual; 1 for a server of a service in which
    /// none reports its pace.
    pub fn factor(&self) -> f64 {
        f64::from_bits(self.factor.load(Ordering::Relaxed))
    }

    /// The time that work takes, as a multiple of the mean of the server's service.
    pub fn relative(&self) -> f64 {
        LEVEL_FACTOR.powi(self.state.lock().unwrap().level.into())
    }

    /// Sets the mean of the server's service, and lets its level follow `factor` by a step.
    pub(super) fn follow(&self, mean: f64, factor: f64, now: Instant) {
        let mean = mean.clamp(MIN_MEAN, MAX_MEAN);
        let mut state = self.state.lock().unwrap();
        let factor = if state.is_unreadable { 1.0 } else { factor };
        let wanted = (factor / mean).ln() / LEVEL_FACTOR.ln();
        let distance = wanted - f64::from(state.level);
        let may_change =
            state.changed.is_none_or(|at| now.saturating_duration_since(at) >= LEVEL_TIME);
        if distance.abs() > LEVEL_BAND && may_change {
            let step = if distance > 0.0 { 1 } else { -1 };
            state.level = (state.level + step).clamp(-MAX_LEVEL, MAX_LEVEL);
            state.changed = Some(now);
        }
        let used = mean * LEVEL_FACTOR.powi(state.level.into());
        self.factor.store(used.to_bits(), Ordering::Relaxed);
    }

    /// Lets the server count as usual.
    pub(super) fn reset(&self) {
        self.state.lock().unwrap().level = 0;
        self.factor.store(1.0f64.to_bits(), Ordering::Relaxed);
    }
}

impl State {
    fn add(&mut self, report: PaceReport) {
        match self.sums {
            None => self.sums = Some(Sums::first(report)),
            Some(sums) if report.at > sums.newest => self.sums = Some(sums.with(report)),
            Some(_) => {}
        }
    }
}
