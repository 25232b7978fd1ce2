//! Backend servers that announce in an answer that they are leaving.

use reqwest::header::HeaderMap;

use crate::events::{Code, Fields};
use crate::filters::forward::Chosen;
use crate::filters::{STANDING_HEADER, Shared};
use crate::fleet::LeavingMark;

/// Value of the header in the answers of a leaving backend server.
const LEAVING: &[u8] = b"leaving";

/// Marks the chosen backend server as leaving when its answer announces it.
pub(crate) fn record_leaving(shared: &Shared, chosen: &Chosen, answer: &HeaderMap) {
    if answer.get(STANDING_HEADER).is_none_or(|it| it.as_bytes() != LEAVING) {
        return;
    }
    let mark = LeavingMark {
        name: chosen.server.name.clone(),
        incarnation: chosen.engine.incarnation,
        remaining: shared.settings.state_sync.mark_hold,
    };
    if shared.marks.insert(&mark, shared.clock.now()) {
        let fields = Fields { subject: &mark.name, detail: "its own answer" };
        shared.events.record(Code::MarkedLeaving, fields);
    }
}
