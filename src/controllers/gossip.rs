//! Makes exchanges with other routers: at once on news, else now and then.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use xtra::Address;

use crate::backend::RouterClient;
use crate::controllers::Publisher;
use crate::controllers::exchange::SPARE;
use crate::controllers::messages::{ExchangeDone, NextExchange};

/// Exchanges at the same time.
const MAX_OPEN: usize = 4;
/// Debt in bytes up to which urgent news still goes out.
const URGENT_DEBT: f64 = -2_048.0;

/// Makes exchanges until the publisher is gone.
pub async fn exchange_gossip(
    routers: RouterClient,
    publisher: Address<Publisher>,
    wake: Arc<Notify>,
    every: Duration,
) {
    let mut open = JoinSet::new();
    let mut tick = Instant::now();
    loop {
        tokio::select! {
            () = wake.notified() => {}
            () = sleep_until(tick) => {}
        }
        let mut due = Instant::now() >= tick && routers.has_budget(SPARE);
        if Instant::now() >= tick {
            tick = Instant::now() + every.mul_f64(rand::rng().random_range(0.8..1.2));
        }
        loop {
            routers.wait_for_budget(URGENT_DEBT).await;
            let Ok(round) = publisher.send(NextExchange { due }).await else {
                return;
            };
            due = false;
            let Some(round) = round else {
                break;
            };
            while open.len() >= MAX_OPEN {
                open.join_next().await;
            }
            let routers = routers.clone();
            let publisher = publisher.clone();
            open.spawn(async move {
                let reply = routers.gossip(round.addr, &round.message).await;
                let urgent = round.message.has_marks() || !round.message.records.is_empty();
                let answered = ExchangeDone { peer: round.peer, pull: round.pull, urgent, reply };
                let _ = publisher.send(answered).await;
            });
        }
        while open.try_join_next().is_some() {}
    }
}
