//! Issues idempotency keys.

use warp::reply::Response;

use crate::filters::answer::json;
use crate::filters::identify::identify;
use crate::filters::{Call, Refusal, Shared};
use crate::keys::write_key;
use crate::wire::NewKey;

/// Answers `POST /v1/keys`: a key under which only this incarnation of this router
/// runs calls.
pub(crate) fn new_key(shared: &Shared, call: &mut Call) -> Result<Response, Refusal> {
    identify(shared, call)?;
    let key = write_key(&shared.keys, &call.organisation, &shared.once.issue());
    let good_ms = shared.once.key_lifetime_ms();
    let router = shared.settings.name.clone();
    Ok(json(&NewKey { key, good_ms, router }))
}
