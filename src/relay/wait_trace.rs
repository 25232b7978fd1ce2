//! What a request waited for, for its log line.

use std::fmt;
use std::time::Duration;

use crate::decide::{NoWait, ShortageView, Standing};

plain! {
    /// The wait of a request for room, or why it did not wait, with what that rests on.
    pub(crate) struct WaitTrace {
        /// What the request had behind it.
        pub standing: Standing,
        /// Requests that went before it.
        pub ahead: usize,
        /// Requests a second that found room, as estimated.
        pub rate: Option<f64>,
        /// What was known of the demand.
        pub view: ShortageView,
        /// How long it waited.
        pub time: Duration,
        /// Why it was refused; absent if it found room.
        pub refused: Option<NoWait>,
    }
}

impl fmt::Display for WaitTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let result = self.refused.map_or("room", NoWait::as_str);
        let standing = self.standing.as_str();
        write!(f, "{result}:{}ms:{standing}:ahead={}", self.time.as_millis(), self.ahead)?;
        if let Some(rate) = self.rate {
            write!(f, ":rate={rate:.1}")?;
        }
        let ShortageView { share, left, offered, refused, peers_age } = &self.view;
        write!(f, ":share={share:.2}:left={left:.2}:refused={refused:.1}/{offered:.1}")?;
        if let Some(age) = peers_age {
            write!(f, ":age={}ms", age.as_millis())?;
        }
        Ok(())
    }
}
