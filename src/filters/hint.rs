//! The chat hint that a request carries.

use crate::events::{Code, Fields};
use crate::filters::{Call, HINT_HEADER, Shared};
use crate::keys;

/// Engine and incarnation that the hint names. A malformed or forged hint, or one
/// of another chat, counts as missing.
pub(crate) fn read_hint(shared: &Shared, call: &Call) -> Option<(u64, u64)> {
    let text = call.header(HINT_HEADER)?;
    let hint = keys::read_hint(&shared.keys, call.chat, text);
    if hint.is_none() {
        let fields = Fields { subject: &call.id, detail: &call.organisation };
        shared.events.record(Code::HintRefused, fields);
    }
    hint
}
