//! The control budget of a router: an account of bytes for each purpose.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::clock::SharedClock;

key! {
    /// What control bytes are spent on.
    pub enum Purpose {
        /// Exchanges between routers.
        Gossip,
        /// Reads and appends of the log.
        Log,
        /// Reads of the instance list.
        List,
        /// Asking engines.
        Load,
    }
}

/// Share of each purpose in percent, in the order of [`Purpose`].
const SHARES: [u64; 4] = [45, 15, 20, 20];
/// Time over which an account saves up.
const SAVED: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct Account {
    /// Bytes a second.
    rate: f64,
    /// Bytes that may be spent; below 0 after a call that was larger.
    /// Invariant: at most `rate` times [`SAVED`].
    balance: f64,
    at: Instant,
}

/// Accounts that pay for every control byte, both ways.
///
/// A call is made while its account is not in debt and pays when its size is
/// known, so that over any time the bytes are at most rate times time, plus what
/// was saved, plus one call.
#[derive(Debug)]
pub struct Budget {
    clock: SharedClock,
    accounts: Mutex<[Account; 4]>,
}

impl Budget {
    /// Full accounts that together spend `rate` bytes a second.
    pub fn new(rate: u64, clock: SharedClock) -> Budget {
        let at = clock.now();
        let accounts = SHARES.map(|share| {
            let rate = (rate * share) as f64 / 100.0;
            Account { rate, balance: rate * SAVED.as_secs_f64(), at }
        });
        Budget { clock, accounts: Mutex::new(accounts) }
    }

    /// Bytes that `purpose` may spend now; below 0 in debt.
    pub fn balance(&self, purpose: Purpose) -> f64 {
        self.change(purpose, 0)
    }

    /// Takes `bytes` from the account of `purpose`.
    pub fn spend(&self, purpose: Purpose, bytes: usize) {
        self.change(purpose, bytes);
    }

    /// How long until `purpose` has `bytes` to spend.
    pub fn delay(&self, purpose: Purpose, bytes: f64) -> Duration {
        let missing = bytes - self.balance(purpose);
        let rate = self.accounts.lock().unwrap()[purpose as usize].rate;
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((missing / rate).min(3_600.0))
    }

    fn change(&self, purpose: Purpose, bytes: usize) -> f64 {
        let now = self.clock.now();
        let mut accounts = self.accounts.lock().unwrap();
        let it = &mut accounts[purpose as usize];
        let time = now.saturating_duration_since(it.at).as_secs_f64();
        it.at = it.at.max(now);
        let most = it.rate * SAVED.as_secs_f64();
        it.balance = (it.balance + it.rate * time).min(most) - bytes as f64;
        it.balance
    }
}
