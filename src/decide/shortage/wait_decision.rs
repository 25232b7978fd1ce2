//! Whether a request that finds no room may wait for it.

use std::time::Duration;

use crate::decide::shortage::Standing;

/// Share of the objective that a request may wait in a router. The rest is for the server.
const OBJECTIVE_SHARE: f64 = 0.4;
/// Share of its remaining time that a request may wait that has missed its objective already,
/// as it was refused before.
const REMAINING_SHARE: f64 = 0.2;
/// The wait that is expected must fit so many times into the longest one: room becomes free
/// unevenly, and more urgent requests may come.
const MARGIN: f64 = 1.5;

plain! {
    /// A request that finds no room, and what is known of the room.
    pub struct WaitQuery {
        /// What was done for it before.
        pub standing: Standing,
        /// Latency objective of its route.
        pub objective: Duration,
        /// Time since this router received it.
        pub elapsed: Duration,
        /// Time until its deadline.
        pub remaining: Duration,
        /// Requests that go before it.
        pub ahead: usize,
        /// Requests a second that find room; absent while nothing shows it.
        pub rate: Option<f64>,
    }
}

key! {
    /// Why a request does not wait for room.
    pub enum NoWait {
        /// Requests do not wait by the settings.
        Off,
        /// Its objective, or the deadline of one that came back, could not be met.
        TooLong,
        /// Nothing shows that there will be room.
        UnknownRate,
        /// Too many wait, or they hold too much memory.
        Full,
        /// Its caller did not wait as long as it was told to.
        Repeated,
        /// There was no room in the time for which it could wait.
        InVain,
        /// The router shuts down.
        Leaving,
    }
}

impl NoWait {
    /// Name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            NoWait::Off => "off",
            NoWait::TooLong => "too_long",
            NoWait::UnknownRate => "unknown_rate",
            NoWait::Full => "full",
            NoWait::Repeated => "repeated",
            NoWait::InVain => "in_vain",
            NoWait::Leaving => "leaving",
        }
    }
}

/// The time for which a request may wait for room.
///
/// # Errors
/// Fails when it should be refused at once.
pub fn may_wait(query: &WaitQuery) -> Result<Duration, NoWait> {
    if query.standing == Standing::Repeated {
        return Err(NoWait::Repeated);
    }
    let in_time = query.objective.mul_f64(OBJECTIVE_SHARE).saturating_sub(query.elapsed);
    let max = match query.standing {
        Standing::Resumed | Standing::Returned => {
            in_time.max(query.remaining.mul_f64(REMAINING_SHARE))
        }
        Standing::New | Standing::Repeated => in_time.min(query.remaining),
    };
    let rate = query.rate.filter(|it| *it > 0.0).ok_or(NoWait::UnknownRate)?;
    let expected = MARGIN * (query.ahead + 1) as f64 / rate;
    if expected > max.as_secs_f64() { Err(NoWait::TooLong) } else { Ok(max) }
}
