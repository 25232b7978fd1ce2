//! Has leaving marks that request traffic adds published and passed on.

use std::sync::Arc;

use xtra::Address;

use crate::controllers::Publisher;
use crate::controllers::messages::MarksAdded;
use crate::fleet::LeavingMarks;

/// Notifies the publisher of marks that are added, until it stops.
pub async fn watch_marks(marks: Arc<LeavingMarks>, publisher: Address<Publisher>) {
    loop {
        marks.added.notified().await;
        if publisher.send(MarksAdded).await.is_err() {
            return;
        }
    }
}
