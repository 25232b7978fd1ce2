//! Follows the platform's instance list.
//!
//! The routers take turns, one in each slot of `list_every`, so that the fleet reads
//! the list at one rate whatever its size. A newcomer's first pauses are shorter.
//! Gossip spreads what one of them finds.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use tokio::time::sleep;
use xtra::Address;

use crate::backend::ListClient;
use crate::clock::SharedClock;
use crate::controllers::{ListRead, Publisher};
use crate::events::{Code, EventLog, Fields};
use crate::fleet::ViewCell;

/// Debt in bytes with which a router still takes its turn.
const TURN_DEBT: f64 = -1_024.0;

/// Reader of the instance list.
#[derive(Debug)]
pub struct ListWatch {
    /// Client of the list.
    pub list: ListClient,
    /// Where the lists go.
    pub publisher: Address<Publisher>,
    /// Recent events.
    pub events: Arc<EventLog>,
    /// The view, for the turns of the routers.
    pub view: Arc<ViewCell>,
    /// The clock.
    pub clock: SharedClock,
    /// Name of this router.
    pub name: String,
    /// Pause between two reads of the whole fleet.
    pub every: Duration,
}

impl ListWatch {
    /// Reads the list until the publisher is gone; an outage keeps the last one.
    pub async fn run(self) {
        let mut reachable = true;
        let mut most = 1;
        loop {
            self.list.wait_for_budget(TURN_DEBT).await;
            match self.list.read().await {
                Ok(instances) => {
                    if !std::mem::replace(&mut reachable, true) {
                        self.events.record(Code::ListReachable, Fields::default());
                    }
                    if self.publisher.send(ListRead { instances }).await.is_err() {
                        return;
                    }
                }
                Err(e) => {
                    if std::mem::replace(&mut reachable, false) {
                        let detail = e.to_string();
                        let fields = Fields { subject: "", detail: &detail };
                        self.events.record(Code::ListUnreachable, fields);
                    }
                }
            }
            most *= 2;
            let pause = self.turn().min(self.every.saturating_mul(most));
            sleep(pause).await;
        }
    }

    /// Time until this router's next turn.
    fn turn(&self) -> Duration {
        let view = self.view.peek();
        let live = || view.routers.iter().filter(|it| !it.leaving);
        let place = live().filter(|it| it.name < self.name).count() as u64;
        let wall = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        slot_delay(wall, self.every, place, live().count() as u64)
    }
}

/// Time from `now` to the next slot that belongs to `place` out of `count`; slots
/// are `every` long and go round.
pub fn slot_delay(now: Duration, every: Duration, place: u64, count: u64) -> Duration {
    let length = every.as_nanos().max(1);
    let count = u128::from(count.max(1));
    let next = now.as_nanos() / length + 1;
    let further = (u128::from(place) + count - next % count) % count;
    let at = (next + further) * length;
    Duration::from_nanos((at - now.as_nanos()) as u64)
}
