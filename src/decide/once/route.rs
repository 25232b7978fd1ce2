//! Where a call under an operation key goes.

use crate::decide::once::Owner;

key! {
    /// What a router knows about the owner of a key.
    pub enum Holder {
        /// The key names it, or a claim read from the log does.
        Known(Owner),
        /// No claim has been read.
        Unclaimed,
    }

    /// What a router does with a call.
    pub enum Route {
        /// It is the owner: its ledger decides.
        Own,
        /// The owner is another router: it gets the call.
        Forward(Owner),
        /// Nobody is known to own the key: claim it first.
        Claim,
        /// The owner is gone, or the call was forwarded to the wrong router: it
        /// may have run, and nobody may run it.
        OwnerGone,
    }
}

/// Decides for the router `me`; `forwarded` tells that a router sent the call on.
pub fn route(me: Owner, holder: Holder, forwarded: bool) -> Route {
    match holder {
        Holder::Known(owner) if owner == me => Route::Own,
        Holder::Known(owner) if owner.router == me.router || forwarded => Route::OwnerGone,
        Holder::Known(owner) => Route::Forward(owner),
        Holder::Unclaimed => Route::Claim,
    }
}
