//! The control budget of a router: a token bucket of bytes for each purpose.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::clock::SharedClock;

key! {
    /// What control bytes are spent on.
    pub enum Purpose {
        /// Exchanges between routers.
        Gossip,
        /// Tickets and snapshots in the log.
        Log,
        /// Claims of idempotency keys in the log.
        Claims,
        /// Reads of the instance list.
        List,
        /// Polls of engines.
        Load,
    }
}

impl Purpose {
    /// Number of purposes.
    pub const COUNT: usize = 5;
    /// All purposes, in the order of their declaration.
    pub const ALL: [Purpose; Purpose::COUNT] =
        [Purpose::Gossip, Purpose::Log, Purpose::Claims, Purpose::List, Purpose::Load];

    /// Fraction of the total budget that is reserved for it.
    pub fn share(self) -> f64 {
        SHARES_PERCENT[self as usize] / 100.0
    }

    /// Whether it may also spend from the shared reserve.
    fn has_reserve(self) -> bool {
        matches!(self, Purpose::Gossip | Purpose::Log | Purpose::Claims)
    }
}

/// Share of each purpose in percent, in the order of [`Purpose`].
const SHARES_PERCENT: [f64; Purpose::COUNT] = [40.0, 10.0, 8.0, 15.0, 27.0];
/// Fraction of the income of [`Purpose::Load`] that goes to [`Purpose::Log`] and
/// [`Purpose::Claims`] while these are in debt.
const LOAD_SUBSIDY: f64 = 0.75;
/// Each bucket holds at most its income of this time, and the reserve the income of
/// all buckets.
const BURST_TIME: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy)]
struct Bucket {
    /// Bytes a second.
    rate: f64,
    /// Bytes that may be spent; negative after a call larger than the balance.
    /// Invariant: at most `rate` times [`BURST_TIME`].
    balance: f64,
}

#[derive(Debug)]
struct Buckets {
    all: [Bucket; Purpose::COUNT],
    /// Income that overflowed full buckets, for exchanges and both uses of the log.
    /// Invariant: at most the total rate times [`BURST_TIME`].
    reserve: f64,
    refilled_at: Instant,
}

/// Token buckets that limit all control bytes, sent and received.
///
/// A call is made while its bucket is not in debt and is charged when its size
/// is known. Over any period the bytes are therefore at most the rate times the
/// period, plus the bursts (twice [`BURST_TIME`]), plus one call for each bucket.
#[derive(Debug)]
pub struct Budget {
    clock: SharedClock,
    rate: f64,
    buckets: Mutex<Buckets>,
}

impl Budget {
    /// Full buckets that together allow `rate` bytes a second, and an empty reserve.
    pub fn new(rate: u64, clock: SharedClock) -> Budget {
        let rate = rate as f64;
        let all = SHARES_PERCENT.map(|share| {
            let rate = rate * share / 100.0;
            Bucket { rate, balance: rate * BURST_TIME.as_secs_f64() }
        });
        let buckets = Buckets { all, reserve: 0.0, refilled_at: clock.now() };
        Budget { clock, rate, buckets: Mutex::new(buckets) }
    }

    /// Bytes that `purpose` may spend now, including the reserve if it may use
    /// that; negative when in debt.
    pub fn balance(&self, purpose: Purpose) -> f64 {
        self.charge(purpose, 0)
    }

    /// Takes `bytes` from the bucket of `purpose`.
    pub fn spend(&self, purpose: Purpose, bytes: usize) {
        self.charge(purpose, bytes);
    }

    /// Upper bound of the time until `purpose` has `bytes` to spend: the reserve
    /// and other buckets may make it shorter.
    pub fn delay(&self, purpose: Purpose, bytes: f64) -> Duration {
        let missing = bytes - self.balance(purpose);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let rate = self.buckets.lock().unwrap().all[purpose as usize].rate;
        Duration::from_secs_f64((missing / rate).min(3_600.0))
    }

    /// Charges `bytes` to `purpose` and returns what it may spend after that.
    fn charge(&self, purpose: Purpose, bytes: usize) -> f64 {
        let now = self.clock.now();
        let mut buckets = self.buckets.lock().unwrap();
        buckets.refill(now, self.rate);
        buckets.all[purpose as usize].balance -= bytes as f64;
        if purpose.has_reserve() {
            buckets.cover_debt(purpose);
        }
        let reserve = if purpose.has_reserve() { buckets.reserve } else { 0.0 };
        buckets.all[purpose as usize].balance + reserve
    }
}

impl Buckets {
    /// Adds the income since the last call; what overflows goes to the reserve.
    /// While tickets or claims are in debt, part of the income of
    /// [`Purpose::Load`] goes to them.
    fn refill(&mut self, now: Instant, rate: f64) {
        let time = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        for purpose in Purpose::ALL {
            let mut income = self.all[purpose as usize].rate * time;
            if purpose == Purpose::Load {
                let mut subsidy = income * LOAD_SUBSIDY;
                for debtor in [Purpose::Log, Purpose::Claims] {
                    let given = (-self.all[debtor as usize].balance).clamp(0.0, subsidy);
                    self.all[debtor as usize].balance += given;
                    subsidy -= given;
                    income -= given;
                }
            }
            let it = &mut self.all[purpose as usize];
            let max = it.rate * BURST_TIME.as_secs_f64();
            let balance = it.balance + income;
            self.reserve += (balance - max).max(0.0);
            it.balance = balance.min(max);
        }
        self.reserve = self.reserve.min(rate * BURST_TIME.as_secs_f64());
    }

    /// Covers a debt of `purpose` from the reserve.
    fn cover_debt(&mut self, purpose: Purpose) {
        let it = &mut self.all[purpose as usize];
        let debt = (-it.balance).clamp(0.0, self.reserve);
        it.balance += debt;
        self.reserve -= debt;
    }
}
