//! Reads organisation, chat and deadline of a request.

use std::time::Duration;

use crate::decide::{chat_key, hash_bytes};
use crate::filters::{
    CHAT_HEADER, Call, DEADLINE_HEADER, HINT_HEADER, KEY_HEADER, ORGANISATION_HEADER, Reason,
    Refusal, Shared,
};

/// Maximum length of the name of an organisation or chat.
const MAX_NAME_BYTES: usize = 256;
/// Headers that may occur only once.
const SINGLE_HEADERS: [&str; 5] =
    [ORGANISATION_HEADER, CHAT_HEADER, HINT_HEADER, DEADLINE_HEADER, KEY_HEADER];

/// Sets organisation, chat and deadline of a call from its headers.
pub(crate) fn identify(shared: &Shared, call: &mut Call) -> Result<(), Refusal> {
    for header in SINGLE_HEADERS {
        if call.headers.get_all(header).iter().count() > 1 {
            let message = format!("header `{header}` occurs more than once");
            return Err(Refusal::not_run(Reason::BadRequest, message));
        }
    }
    let organisation = name(call, ORGANISATION_HEADER)?;
    let Some(organisation) = organisation else {
        let message = format!("header `{ORGANISATION_HEADER}` is missing");
        return Err(Refusal::not_run(Reason::BadRequest, message));
    };
    call.chat = match name(call, CHAT_HEADER)? {
        Some(chat) => chat_key(&organisation, &chat),
        None => hash_bytes(call.id.as_bytes()),
    };
    call.organisation = organisation;
    if let Some(text) = call.header(DEADLINE_HEADER) {
        let Ok(millis) = text.parse::<u64>() else {
            let message = format!("header `{DEADLINE_HEADER}` is `{text}`, expected milliseconds");
            return Err(Refusal::not_run(Reason::BadRequest, message));
        };
        let timeout = Duration::from_millis(millis).min(shared.settings.traffic.deadline);
        call.deadline = call.deadline.min(shared.clock.now() + timeout);
    }
    Ok(())
}

/// The value of a header that holds a name.
fn name(call: &Call, header: &str) -> Result<Option<String>, Refusal> {
    let Some(value) = call.headers.get(header) else {
        return Ok(None);
    };
    let text = value.to_str().unwrap_or_default();
    if text.is_empty() || text.len() > MAX_NAME_BYTES {
        let message =
            format!("header `{header}` must have 1 to {MAX_NAME_BYTES} visible characters");
        return Err(Refusal::not_run(Reason::BadRequest, message));
    }
    Ok(Some(text.to_owned()))
}
