//! Polls engines for their load and hands the reports to the publisher, which builds the
//! router's view.

use tokio::time::{Instant, sleep, sleep_until};
use xtra::Address;

use crate::backend::EngineClient;
use crate::controllers::Publisher;
use crate::controllers::messages::{LoadReported, LoadTargets};
use crate::settings::StateSync;

/// Polls the engines assigned to this router, one after the other as the byte budget
/// for control traffic allows, until the publisher stops.
pub async fn watch_loads(
    engines: EngineClient,
    publisher: Address<Publisher>,
    state_sync: StateSync,
) {
    loop {
        let next = Instant::now() + state_sync.load_every;
        let Ok(targets) = publisher.send(LoadTargets).await else {
            return;
        };
        if targets.is_empty() {
            sleep(state_sync.load_every).await;
            continue;
        }
        for (name, addr) in targets {
            engines.wait_for_budget().await;
            let Ok(report) = engines.load(addr).await else {
                continue;
            };
            if publisher.send(LoadReported { name, report }).await.is_err() {
                return;
            }
        }
        sleep_until(next).await;
    }
}
