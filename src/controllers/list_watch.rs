//! Polls the platform's instance list.
//!
//! In each slot of `list_every` one router reads the list, so that the fleet reads it
//! at the same rate whatever its size. The first pauses of a router that has just
//! started are shorter. Gossip spreads the changes that one router finds.

use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use tokio::time::sleep;
use xtra::Address;

use crate::backend::ListClient;
use crate::clock::SharedClock;
use crate::controllers::{ListRead, Publisher};
use crate::events::{Code, EventLog, Fields};
use crate::fleet::ViewCell;

/// Balance in bytes down to which a router still reads the list in its slot.
const MIN_BALANCE: f64 = -1_024.0;

/// Reader of the instance list.
#[derive(Debug)]
pub struct ListWatch {
    /// Client of the list.
    pub list: ListClient,
    /// The publisher, which gets the lists.
    pub publisher: Address<Publisher>,
    /// Recent events.
    pub events: Arc<EventLog>,
    /// The view, which decides the slots of the routers.
    pub view: Arc<ViewCell>,
    /// The clock.
    pub clock: SharedClock,
    /// Name of this router.
    pub name: String,
    /// Pause between two reads by any router of the fleet.
    pub every: Duration,
}

impl ListWatch {
    /// Reads the list until the publisher stops; during an outage the last list stays.
    pub async fn run(self) {
        let mut reachable = true;
        let mut max_slots = 1;
        loop {
            self.list.wait_for_budget(MIN_BALANCE).await;
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
            max_slots *= 2;
            let pause = self.slot_delay().min(self.every.saturating_mul(max_slots));
            sleep(pause).await;
        }
    }

    /// Time until this router's next slot.
    fn slot_delay(&self) -> Duration {
        let view = self.view.peek();
        let live = || view.routers.iter().filter(|it| !it.leaving);
        let index = live().filter(|it| it.name < self.name).count() as u64;
        let wall = self.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        slot_delay(wall, self.every, index, live().count() as u64)
    }
}

/// Time from `now` until the next slot of the router at `index` out of `count`. Slots
/// are `every` long and are assigned to the routers in rotation.
pub fn slot_delay(now: Duration, every: Duration, index: u64, count: u64) -> Duration {
    let length = every.as_nanos().max(1);
    let count = u128::from(count.max(1));
    let next = now.as_nanos() / length + 1;
    let distance = (u128::from(index) + count - next % count) % count;
    let at = (next + distance) * length;
    Duration::from_nanos((at - now.as_nanos()) as u64)
}
