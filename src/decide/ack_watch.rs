//! Whether the peer of a connection is gone, from what it acknowledges.
//!
//! Answers links that are cut and machines without power, while bytes are on their way to the peer.
//! A peer that acknowledges is there, also while it reads nothing and its window stays closed.

use std::time::{Duration, Instant};

/// Time without an acknowledgement after which a peer that owes one counts as gone.
const ACK_TIMEOUT: Duration = Duration::from_secs(2);
/// Probes of a closed window that are not answered before they count: one may get lost.
const MIN_UNANSWERED_PROBES: u8 = 2;

plain! {
    /// What the kernel knows of the bytes that were written to a connection.
    #[derive(Copy)]
    pub struct SendState {
        /// Bytes that were acknowledged since the connection was established.
        pub acked_bytes: u64,
        /// Segments that were sent and not acknowledged.
        pub unacked_segments: u32,
        /// Bytes that were not sent, as the window is closed or the link is busy.
        pub unsent_bytes: u32,
        /// Probes of a closed window that were not answered.
        pub unanswered_probes: u8,
        /// Time since the last acknowledgement of anything; always zero where the system does not
        /// tell it.
        pub since_ack: Duration,
    }
}

key! {
    /// What follows for the peer.
    pub enum PeerState {
        /// It has acknowledged all that was written.
        Idle,
        /// Bytes are on their way, or it leaves them unread.
        Busy,
        /// It acknowledges nothing any more.
        Gone,
    }
}

impl SendState {
    fn is_idle(&self) -> bool {
        self.unacked_segments == 0 && self.unsent_bytes == 0
    }

    /// Whether the peer has not answered something that was sent.
    fn is_ack_due(&self) -> bool {
        self.unacked_segments > 0 || self.unanswered_probes >= MIN_UNANSWERED_PROBES
    }
}

/// Follows the acknowledgements of one connection, from a write until all is acknowledged.
#[derive(Debug, Clone, Copy)]
pub struct AckWatch {
    /// Since when an acknowledgement is due, at the earliest; absent while none is.
    due_since: Option<Instant>,
    /// Bytes that were acknowledged at the last look.
    acked_bytes: Option<u64>,
    /// The system tells when the last acknowledgement came.
    is_time_told: bool,
}

impl AckWatch {
    /// A watch that begins with a write at `now`.
    pub fn new(now: Instant) -> AckWatch {
        AckWatch { due_since: Some(now), acked_bytes: None, is_time_told: false }
    }

    /// Takes in the state of the connection at `now`.
    pub fn check(&mut self, state: &SendState, now: Instant) -> PeerState {
        if state.is_idle() {
            return PeerState::Idle;
        }
        self.is_time_told |= !state.since_ack.is_zero();
        let former = self.acked_bytes.replace(state.acked_bytes);
        let has_acked = former.is_some_and(|it| it != state.acked_bytes);
        if has_acked || !state.is_ack_due() {
            self.due_since = None;
        }
        if !state.is_ack_due() {
            return PeerState::Busy;
        }
        let due_since = *self.due_since.get_or_insert(now);
        let unacked = now.saturating_duration_since(due_since);
        let silence = if self.is_time_told { unacked.min(state.since_ack) } else { unacked };
        if silence >= ACK_TIMEOUT { PeerState::Gone } else { PeerState::Busy }
    }
}
