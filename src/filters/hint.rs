//! The chat hint that a request brings back.

use crate::events::{Code, Fields};
use crate::filters::{Call, HINT_HEADER, Shared};
use crate::keys;
use crate::keys::ChatHint;

/// Engine and incarnation that the hint names for the chat of `call`; a broken
/// or forged one, or one of another chat, counts as none.
pub(crate) fn read_hint(shared: &Shared, call: &Call) -> Option<(u64, u64)> {
    let text = call.header(HINT_HEADER)?;
    let found = keys::read_hint(&shared.keys, &call.organisation, text);
    let hint = found.filter(|it| it.chat == call.chat);
    if hint.is_none() {
        refused(shared, call);
    }
    hint.map(|it| (it.engine, it.incarnation))
}

/// Engine and incarnation that the hint names, whatever its chat; a stream's
/// name says already whose it is.
pub(crate) fn read_stream_hint(shared: &Shared, call: &Call) -> Option<(u64, u64)> {
    let text = call.header(HINT_HEADER)?;
    let hint = keys::read_hint(&shared.keys, &call.organisation, text);
    if hint.is_none() {
        refused(shared, call);
    }
    hint.map(|it| (it.engine, it.incarnation))
}

/// The hint that goes with the answer to `call`.
pub(crate) fn write_hint(shared: &Shared, call: &Call, engine: u64, incarnation: u64) -> String {
    let hint = ChatHint { chat: call.chat, engine, incarnation };
    keys::write_hint(&shared.keys, &call.organisation, &hint)
}

fn refused(shared: &Shared, call: &Call) {
    let fields = Fields { subject: &call.id, detail: &call.organisation };
    shared.events.record(Code::HintRefused, fields);
}
