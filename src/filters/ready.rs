//! Refuses requests while no state is in force.

use std::time::Duration;

use crate::filters::{Call, Reason, Refusal, Shared};

/// When a caller should retry.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Refuses the call while no state is in force.
pub(crate) fn ready(_: &Shared, call: &mut Call) -> Result<(), Refusal> {
    if call.view.ready {
        return Ok(());
    }
    let message = "this router has no state in force yet";
    Err(Refusal::not_run(Reason::NotReady, message).retry_after(RETRY_AFTER))
}
