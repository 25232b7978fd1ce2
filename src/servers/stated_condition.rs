//! What one incarnation of a backend server has stated of itself.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};

use crate::events::LogOnce;
use crate::servers::Backoff;
use crate::servers::cold_limit::ColdLimit;
use crate::servers::server_limit::ServerLimit;

/// The condition of one incarnation. It is shared by all values that stand for the incarnation,
/// as its record may change, be removed and return while what was stated still holds.
#[derive(Debug, Default)]
pub struct StatedCondition {
    /// It said that it leaves. Never reset: only the next incarnation takes work again.
    pub(super) leaving: AtomicBool,
    /// It is unclear whether this incarnation or a former one stated that it leaves or wants
    /// time: it gets no requests until it has answered a health check.
    pub(super) unconfirmed: AtomicBool,
    pub(super) limit: Mutex<ServerLimit>,
    /// For how long it is cold, by its records and answers.
    pub(super) cold: Mutex<ColdLimit>,
    /// Times for which it wants no requests.
    pub backoff: Backoff,
    /// For the line that an answer's word on its leaving cannot be read.
    pub(crate) unreadable_leaving: LogOnce,
    /// For the line that an answer's word on its being cold cannot be read.
    pub(crate) unreadable_cold: LogOnce,
    /// For the line that an answer's word on its being brittle cannot be read.
    pub(crate) unreadable_brittle: LogOnce,
    /// For the line that the pace that an answer reports cannot be read.
    pub(crate) unreadable_pace: LogOnce,
}

impl StatedCondition {
    /// The condition of an incarnation that is to be confirmed before it gets requests.
    pub fn unconfirmed() -> StatedCondition {
        StatedCondition { unconfirmed: AtomicBool::new(true), ..StatedCondition::default() }
    }

    /// Whether it is still to be confirmed.
    pub fn is_unconfirmed(&self) -> bool {
        self.unconfirmed.load(Ordering::Relaxed)
    }
}
