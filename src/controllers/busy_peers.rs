//! Backoff for peers whose control budget is spent: no exchange goes to them until
//! the time that they gave is over; urgent changes are sent to them then.

use std::time::Duration;

use tokio::time::sleep;
use xtra::prelude::*;

use crate::controllers::Publisher;
use crate::controllers::messages::RetryPeer;

/// Limits of the backoff.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(5);

impl Publisher {
    /// Makes no exchange with `peer` for `retry_after` milliseconds, as it asked; an
    /// `urgent` message is sent again after that.
    pub(super) fn back_off_from(
        &mut self,
        peer: &str,
        retry_after: &str,
        urgent: bool,
        ctx: &mut Context<Self>,
    ) {
        let retry_after = retry_after.parse().map_or(MIN_PAUSE, Duration::from_millis);
        let pause = retry_after.clamp(MIN_PAUSE, MAX_PAUSE);
        let first = self.busy_peers.insert(peer.to_owned());
        if !first && !urgent {
            return;
        }
        let own = ctx.mailbox().address();
        let retry = RetryPeer { peer: peer.to_owned(), urgent };
        tokio::spawn(async move {
            sleep(pause).await;
            let _ = own.send(retry).await;
        });
    }

    /// Whether `peer` is in its backoff.
    pub(super) fn is_busy(&self, peer: &str) -> bool {
        self.busy_peers.contains(peer)
    }
}

impl Handler<RetryPeer> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: RetryPeer, _: &mut Context<Self>) {
        let RetryPeer { peer, urgent } = message;
        self.busy_peers.remove(&peer);
        if !urgent {
            return;
        }
        if !self.record_targets.contains(&peer) {
            self.record_targets.push(peer.clone());
        }
        if !self.mark_targets.contains(&peer) {
            self.mark_targets.push(peer);
        }
        self.wake_gossip.notify_one();
    }
}
