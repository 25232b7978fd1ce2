//! Peers that had spent their budget: they are left alone until they have paid, and
//! urgent news is told to them then.

use std::time::Duration;

use tokio::time::sleep;
use xtra::prelude::*;

use crate::controllers::Publisher;
use crate::controllers::messages::RetryPeer;

/// Shortest and longest time for which such a peer is left alone.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(5);

impl Publisher {
    /// Leaves `peer` alone for the time that it told, in milliseconds; what was
    /// `urgent` is told again then.
    pub(super) fn spare(&mut self, peer: &str, told: &str, urgent: bool, ctx: &mut Context<Self>) {
        let told = told.parse().map_or(MIN_PAUSE, Duration::from_millis);
        let pause = told.clamp(MIN_PAUSE, MAX_PAUSE);
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

    /// Whether `peer` is to be left alone for now.
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
