//! Peers that had spent their budget: they are left alone until they have paid, and
//! urgent news is told to them then.

use std::time::Duration;

use tokio::time::sleep;
use xtra::prelude::*;

use crate::controllers::Publisher;
use crate::controllers::messages::Retry;

/// Shortest and longest time for which such a peer is left alone.
const MIN_PAUSE: Duration = Duration::from_millis(100);
const MAX_PAUSE: Duration = Duration::from_secs(5);

impl Publisher {
    /// Leaves `peer` alone for the time that it told, in milliseconds; what was
    /// `urgent` is told again then.
    pub(super) fn spare(&mut self, peer: &str, told: &str, urgent: bool, ctx: &mut Context<Self>) {
        let told = told.parse().map_or(MIN_PAUSE, Duration::from_millis);
        let pause = told.clamp(MIN_PAUSE, MAX_PAUSE);
        let first = self.busy.insert(peer.to_owned());
        if !first && !urgent {
            return;
        }
        let own = ctx.mailbox().address();
        let retry = Retry { peer: peer.to_owned(), urgent };
        tokio::spawn(async move {
            sleep(pause).await;
            let _ = own.send(retry).await;
        });
    }

    /// Whether `peer` is to be left alone for now.
    pub(super) fn is_busy(&self, peer: &str) -> bool {
        self.busy.contains(peer)
    }
}

impl Handler<Retry> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: Retry, _: &mut Context<Self>) {
        let Retry { peer, urgent } = message;
        self.busy.remove(&peer);
        if !urgent {
            return;
        }
        if !self.branches.contains(&peer) {
            self.branches.push(peer.clone());
        }
        if !self.mark_branches.contains(&peer) {
            self.mark_branches.push(peer);
        }
        self.news.notify_one();
    }
}
