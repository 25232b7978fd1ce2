//! The control budget of a router: an account of bytes for each purpose.

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
        /// Claims of operation keys in the log.
        Claims,
        /// Reads of the instance list.
        List,
        /// Asking engines.
        Load,
    }
}

impl Purpose {
    /// Number of purposes.
    pub const COUNT: usize = 5;
    /// All purposes, in their order.
    pub const ALL: [Purpose; Purpose::COUNT] =
        [Purpose::Gossip, Purpose::Log, Purpose::Claims, Purpose::List, Purpose::Load];

    /// Part of the whole budget that is kept for it.
    pub fn share(self) -> f64 {
        SHARES[self as usize] / 100.0
    }

    /// Whether the reserve helps to pay.
    fn has_reserve(self) -> bool {
        matches!(self, Purpose::Gossip | Purpose::Log | Purpose::Claims)
    }
}

/// Share of each purpose in percent, in the order of [`Purpose`].
const SHARES: [f64; Purpose::COUNT] = [40.0, 10.0, 8.0, 15.0, 27.0];
/// Part of its income that the account for engines leaves to tickets and claims
/// while these are in debt.
const HELP: f64 = 0.75;
/// Time over which the accounts save up, and the reserve once more.
const SAVED: Duration = Duration::from_millis(250);

#[derive(Debug, Clone, Copy)]
struct Account {
    /// Bytes a second.
    rate: f64,
    /// Bytes that may be spent; below 0 after a call that was larger.
    /// Invariant: at most `rate` times [`SAVED`].
    balance: f64,
}

#[derive(Debug)]
struct Accounts {
    all: [Account; Purpose::COUNT],
    /// What full accounts could not keep, for exchanges and both uses of the log.
    /// Invariant: at most the whole rate times [`SAVED`].
    reserve: f64,
    at: Instant,
}

/// Accounts that pay for every control byte, both ways.
///
/// A call is made while its account is not in debt and pays when its size is
/// known, so that over any time the bytes are at most rate times time, plus what
/// was saved (twice [`SAVED`]), plus one call for each account.
#[derive(Debug)]
pub struct Budget {
    clock: SharedClock,
    rate: f64,
    accounts: Mutex<Accounts>,
}

impl Budget {
    /// Full accounts that together spend `rate` bytes a second, and no reserve.
    pub fn new(rate: u64, clock: SharedClock) -> Budget {
        let rate = rate as f64;
        let all = SHARES.map(|share| {
            let rate = rate * share / 100.0;
            Account { rate, balance: rate * SAVED.as_secs_f64() }
        });
        let accounts = Accounts { all, reserve: 0.0, at: clock.now() };
        Budget { clock, rate, accounts: Mutex::new(accounts) }
    }

    /// Bytes that `purpose` may spend now, with the reserve where it helps; below
    /// 0 in debt.
    pub fn balance(&self, purpose: Purpose) -> f64 {
        self.change(purpose, 0)
    }

    /// Takes `bytes` from the account of `purpose`.
    pub fn spend(&self, purpose: Purpose, bytes: usize) {
        self.change(purpose, bytes);
    }

    /// How long until `purpose` has `bytes` to spend, from its own share at the latest.
    pub fn delay(&self, purpose: Purpose, bytes: f64) -> Duration {
        let missing = bytes - self.balance(purpose);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        let rate = self.accounts.lock().unwrap().all[purpose as usize].rate;
        Duration::from_secs_f64((missing / rate).min(3_600.0))
    }

    fn change(&self, purpose: Purpose, bytes: usize) -> f64 {
        let now = self.clock.now();
        let mut accounts = self.accounts.lock().unwrap();
        accounts.earn(now, self.rate);
        accounts.all[purpose as usize].balance -= bytes as f64;
        if purpose.has_reserve() {
            accounts.draw(purpose);
        }
        let helps = if purpose.has_reserve() { accounts.reserve } else { 0.0 };
        accounts.all[purpose as usize].balance + helps
    }
}

impl Accounts {
    /// Pays in for the time since the last call; the reserve takes what is over.
    /// While tickets or claims are in debt, the account for engines helps them.
    fn earn(&mut self, now: Instant, rate: f64) {
        let time = now.saturating_duration_since(self.at).as_secs_f64();
        self.at = self.at.max(now);
        for purpose in Purpose::ALL {
            let mut earned = self.all[purpose as usize].rate * time;
            if purpose == Purpose::Load {
                let mut help = earned * HELP;
                for debtor in [Purpose::Log, Purpose::Claims] {
                    let given = (-self.all[debtor as usize].balance).clamp(0.0, help);
                    self.all[debtor as usize].balance += given;
                    help -= given;
                    earned -= given;
                }
            }
            let it = &mut self.all[purpose as usize];
            let most = it.rate * SAVED.as_secs_f64();
            let balance = it.balance + earned;
            self.reserve += (balance - most).max(0.0);
            it.balance = balance.min(most);
        }
        self.reserve = self.reserve.min(rate * SAVED.as_secs_f64());
    }

    /// Covers a debt of `purpose` from the reserve.
    fn draw(&mut self, purpose: Purpose) {
        let it = &mut self.all[purpose as usize];
        let debt = (-it.balance).clamp(0.0, self.reserve);
        it.balance += debt;
        self.reserve -= debt;
    }
}
