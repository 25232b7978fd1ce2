//! Follows the platform's instance list.

use std::sync::Arc;

use tokio::time::sleep;
use xtra::Address;

use crate::backend::ListClient;
use crate::controllers::{Listed, Publisher};
use crate::events::{Code, EventLog, Fields};
use crate::settings::Control;

/// Reads the list until the publisher is gone; an outage keeps the last one.
pub async fn watch_list(
    list: ListClient,
    publisher: Address<Publisher>,
    events: Arc<EventLog>,
    upkeep: Control,
) {
    let mut reachable = true;
    loop {
        list.afford().await;
        match list.read().await {
            Ok(instances) => {
                if !std::mem::replace(&mut reachable, true) {
                    events.record(Code::ListReachable, Fields::default());
                }
                if publisher.send(Listed { instances }).await.is_err() {
                    return;
                }
            }
            Err(e) => {
                if std::mem::replace(&mut reachable, false) {
                    let detail = e.to_string();
                    events.record(Code::ListUnreachable, Fields { subject: "", detail: &detail });
                }
            }
        }
        sleep(upkeep.list_every).await;
    }
}
