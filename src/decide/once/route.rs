//! The routing of a call under an idempotency key.

use crate::decide::once::Owner;

key! {
    /// What a router knows about the owner of a key.
    pub enum Holder {
        /// The owner, as named by the key or by a claim read from the log.
        Known(Owner),
        /// No claim has been read.
        Unclaimed,
    }

    /// What a router does with a call.
    pub enum Route {
        /// This router owns the key: its ledger decides.
        Own,
        /// Another router owns the key: forward the call to it.
        Forward(Owner),
        /// No owner of the key is known: claim it first.
        Claim,
        /// The owner is gone, or the call was forwarded to the wrong router: the call
        /// may have run, and no router may run it.
        OwnerGone,
    }
}

/// Decides for the router `me`; `forwarded` is whether another router forwarded the call.
pub fn route(me: Owner, holder: Holder, forwarded: bool) -> Route {
    match holder {
        Holder::Known(owner) if owner == me => Route::Own,
        Holder::Known(owner) if owner.router == me.router || forwarded => Route::OwnerGone,
        Holder::Known(owner) => Route::Forward(owner),
        Holder::Unclaimed => Route::Claim,
    }
}
