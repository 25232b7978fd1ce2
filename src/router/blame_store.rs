//! Keeps blamed prompt parts in the store, so that they outlive all routers.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use slog::{info, warn};
use tokio::time::sleep;

use crate::decide::{BlamedPart, PartNews};
use crate::events::Code;
use crate::router::{Router, Store, StoreError};
use crate::wire::WireStoredBlame;

/// Time between two comparisons with what is stored; nothing is written without a difference.
const COMPARE_INTERVAL: Duration = Duration::from_secs(1);
/// The latest time that is read, in milliseconds since 1970, as larger ones may overflow.
const MAX_AT_MS: u64 = 1 << 50;

/// Writes changes of blame to the store while this router reads the store, for ever.
pub(crate) async fn store_blame<S: Store>(router: Arc<Router<S>>) {
    let mut failing = false;
    loop {
        sleep(COMPARE_INTERVAL).await;
        if !router.is_reader() {
            continue;
        }
        match write_changes(&router).await {
            Ok(()) => failing = false,
            Err(e) if !failing => {
                failing = true;
                warn!(router.logger, "{}", Code::BlameNotStored.text();
                    "event" => Code::BlameNotStored.number(), "error" => %e);
            }
            // Logged when the failures began.
            Err(_) => {}
        }
    }
}

/// Merges the blamed parts that were read from the store.
pub(crate) fn merge_stored<S: Store>(router: &Router<S>, stored: Vec<WireStoredBlame>) {
    let clock = router.relay.clock();
    let (now, wall) = (clock.now(), clock.wall());
    *router.stored_blame.lock().unwrap() = stored.iter().map(|it| it.part).collect();
    let blamed = stored.into_iter().map(|it| from_stored(it, now, wall)).collect();
    router.relay.merge_part_news(PartNews { blamed, ..PartNews::default() });
}

async fn write_changes<S: Store>(router: &Router<S>) -> Result<(), StoreError> {
    let clock = router.relay.clock();
    let (now, wall) = (clock.now(), clock.wall());
    let blamed: Vec<WireStoredBlame> = {
        let parts = router.relay.parts.lock().unwrap();
        parts.blamed().map(|it| to_stored(it, now, wall)).collect()
    };
    let stored: HashSet<u64> = router.stored_blame.lock().unwrap().clone();
    for it in blamed.iter().filter(|it| !stored.contains(&it.part)) {
        router.store.put_blame(it).await?;
        router.stored_blame.lock().unwrap().insert(it.part);
        let code = Code::BlameStored;
        info!(router.logger, "{}", code.text();
            "event" => code.number(), "part" => format!("{:x}", it.part));
    }
    let is_blamed = |part: &u64| blamed.iter().any(|it| it.part == *part);
    for part in stored.iter().filter(|it| !is_blamed(it)) {
        router.store.remove_blame(*part).await?;
        router.stored_blame.lock().unwrap().remove(part);
    }
    Ok(())
}

fn to_stored(it: &BlamedPart, now: Instant, wall: SystemTime) -> WireStoredBlame {
    let at = wall.checked_sub(now.saturating_duration_since(it.at)).unwrap_or(UNIX_EPOCH);
    let at_ms = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
    WireStoredBlame { part: it.part, at_ms, companions: it.companions.to_vec() }
}

/// Wall clocks differ by seconds, which is little beside the hours that blame lasts.
fn from_stored(it: WireStoredBlame, now: Instant, wall: SystemTime) -> BlamedPart {
    let at = UNIX_EPOCH + Duration::from_millis(it.at_ms.min(MAX_AT_MS));
    let age = wall.duration_since(at).unwrap_or_default();
    BlamedPart {
        part: it.part,
        at: now.checked_sub(age).unwrap_or(now),
        companions: it.companions.into(),
    }
}
