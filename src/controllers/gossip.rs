//! Makes exchanges with other routers: at once when something changed, else at
//! regular intervals.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use xtra::Address;

use crate::backend::RouterClient;
use crate::controllers::Publisher;
use crate::controllers::exchange::RESERVED_BYTES;
use crate::controllers::messages::{ExchangeDone, NextExchange};

/// Maximum number of concurrent exchanges.
const MAX_OPEN: usize = 4;
/// Balance in bytes down to which urgent exchanges are still made.
const MIN_URGENT_BALANCE: f64 = -2_048.0;

/// Makes exchanges until the publisher stops: whenever `wake` is notified, and every
/// `every` with 20 percent of jitter.
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
        let mut due = Instant::now() >= tick && routers.has_budget(RESERVED_BYTES);
        if Instant::now() >= tick {
            tick = Instant::now() + every.mul_f64(rand::rng().random_range(0.8..1.2));
        }
        loop {
            routers.wait_for_budget(MIN_URGENT_BALANCE).await;
            let Ok(exchange) = publisher.send(NextExchange { due }).await else {
                return;
            };
            due = false;
            let Some(exchange) = exchange else {
                break;
            };
            while open.len() >= MAX_OPEN {
                open.join_next().await;
            }
            let routers = routers.clone();
            let publisher = publisher.clone();
            open.spawn(async move {
                let reply = routers.gossip(exchange.addr, &exchange.message).await;
                let urgent = exchange.message.has_marks() || !exchange.message.records.is_empty();
                let answered =
                    ExchangeDone { peer: exchange.peer, pull: exchange.pull, urgent, reply };
                let _ = publisher.send(answered).await;
            });
        }
        while open.try_join_next().is_some() {}
    }
}
