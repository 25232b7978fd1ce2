//! Asks engines for their load.

use futures_util::future::join_all;
use tokio::time::sleep;
use xtra::Address;

use crate::backend::EngineClient;
use crate::controllers::{Publisher, Reported, Targets};
use crate::settings::Control;

/// Asks every engine in turn until the publisher is gone.
pub async fn watch_loads(engines: EngineClient, publisher: Address<Publisher>, upkeep: Control) {
    loop {
        let Ok(targets) = publisher.send(Targets).await else {
            return;
        };
        let asked = targets.into_iter().map(|(name, addr)| {
            let engines = engines.clone();
            async move { engines.load(addr).await.ok().map(|report| Reported { name, report }) }
        });
        for it in join_all(asked).await.into_iter().flatten() {
            if publisher.send(it).await.is_err() {
                return;
            }
        }
        sleep(upkeep.load_every).await;
    }
}
