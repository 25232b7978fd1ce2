//! Restorations of the store from a copy, as this router notices them.

use slog::warn;

use crate::events::Code;
use crate::router::{Router, Store};
use crate::servers::StoreEra;

impl<S: Store> Router<S> {
    /// Notes the state of the store that an answer named. After a restoration, what this router
    /// keeps in the store counts as lost.
    pub(crate) fn note_era(&self, era: StoreEra) {
        let former = {
            let mut known = self.store_era.lock().unwrap();
            let former = *known;
            *known = era.or(former);
            former
        };
        if era == StoreEra::Unreadable && self.unreadable_era.is_first() {
            let code = Code::EraUnreadable;
            warn!(self.logger, "{}", code.text(); "event" => code.number());
        }
        if era.follows(former) {
            let code = Code::StoreRestored;
            warn!(self.logger, "{}", code.text(); "event" => code.number(),
                "former" => format!("{former:?}"), "era" => format!("{era:?}"));
            self.stored_blame.lock().unwrap().clear();
            self.note_restoration(era);
            self.relay.origins.lock().unwrap().record_all_unwritten();
            self.restored.notify_one();
        }
    }

    /// Notes that the store was restored from a copy, which began the state `era`.
    fn note_restoration(&self, era: StoreEra) {
        if let StoreEra::Number(era) = era {
            let now = self.relay.clock().now();
            let is_follower = self.stream_records.position().is_some();
            self.relay.servers.lock().unwrap().note_restoration(era, now, is_follower);
        }
    }

    /// Notes the state of the store that another router named, whose answers may be older than what
    /// this one knows.
    pub(crate) fn note_told_era(&self, era: StoreEra) {
        let known = *self.store_era.lock().unwrap();
        if known.is_before(era) {
            self.note_era(era);
        }
    }
}
