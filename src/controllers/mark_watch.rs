//! Has marks that traffic adds published and passed on.

use std::sync::Arc;

use xtra::Address;

use crate::controllers::Publisher;
use crate::controllers::messages::MarksAdded;
use crate::fleet::LeavingMarks;

/// Watches the board until the publisher is gone.
pub async fn watch_marks(marks: Arc<LeavingMarks>, publisher: Address<Publisher>) {
    loop {
        marks.added.notified().await;
        if publisher.send(MarksAdded).await.is_err() {
            return;
        }
    }
}
