//! Urgent news for peers that had spent their budget.

use std::time::Duration;

use tokio::time::sleep;
use xtra::prelude::*;

use crate::controllers::Publisher;
use crate::controllers::messages::Retry;

/// Pause before a peer that turned this router away is told again.
const BUSY_PAUSE: Duration = Duration::from_millis(500);

impl Publisher {
    /// Tells urgent news again to a peer that had spent its budget.
    pub(super) fn retry_soon(&self, peer: &str, ctx: &mut Context<Self>) {
        let own = ctx.mailbox().address();
        let retry = Retry { peer: peer.to_owned() };
        tokio::spawn(async move {
            sleep(BUSY_PAUSE).await;
            let _ = own.send(retry).await;
        });
    }
}

impl Handler<Retry> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: Retry, _: &mut Context<Self>) {
        let Retry { peer } = message;
        if !self.branches.contains(&peer) {
            self.branches.push(peer.clone());
        }
        if !self.mark_branches.contains(&peer) {
            self.mark_branches.push(peer);
        }
        self.news.notify_one();
    }
}
