//! Claims in the log and what routers ask each other about operation keys.

use crate::decide::once::{Claim, Op, Owner, Scope};

wire! {
    /// A record of the claim stream: one router claims many keys.
    pub struct WireClaims {
        /// Hash of the router's name.
        pub router: u64,
        /// Its incarnation.
        pub incarnation: u64,
        /// Scope in hexadecimal digits, and hash of the call.
        pub claims: Vec<(String, u64)>,
    }

    /// Asks whether a router never saw a key.
    pub struct KeyQuery {
        /// Scope of the key.
        pub scope: [u8; 16],
        /// Hash of the call.
        pub body: u64,
    }

    /// Answer to [`KeyQuery`].
    pub struct KeyAnswer {
        /// Whether no call and no claim under the key was seen or missed.
        pub unseen: bool,
    }

    /// Answer to a caller who asked for an operation key.
    pub struct NewKey {
        /// The key; callers may append `.` and text of their own.
        pub key: String,
        /// For how many milliseconds it is good.
        pub good_ms: u64,
        /// Name of the router that issued it.
        pub router: String,
    }
}

impl WireClaims {
    /// The record for claims of one owner.
    pub fn new<'a>(owner: Owner, claims: impl Iterator<Item = &'a Claim>) -> WireClaims {
        WireClaims {
            router: owner.router,
            incarnation: owner.incarnation,
            claims: claims.map(|it| (scope_text(&it.op.scope), it.op.body)).collect(),
        }
    }

    /// The claims in their order; those of another form are left out.
    pub fn claims(&self) -> Vec<Claim> {
        let owner = Owner { router: self.router, incarnation: self.incarnation };
        let claim = |(scope, body): &(String, u64)| {
            Some(Claim { owner, op: Op { scope: read_scope(scope)?, body: *body } })
        };
        self.claims.iter().filter_map(claim).collect()
    }
}

fn scope_text(scope: &Scope) -> String {
    format!("{:032x}", u128::from_be_bytes(scope.0))
}

fn read_scope(text: &str) -> Option<Scope> {
    Some(Scope(u128::from_str_radix(text, 16).ok()?.to_be_bytes()))
}

impl From<KeyQuery> for Op {
    fn from(it: KeyQuery) -> Op {
        Op { scope: Scope(it.scope), body: it.body }
    }
}

impl From<Op> for KeyQuery {
    fn from(it: Op) -> KeyQuery {
        KeyQuery { scope: it.scope.0, body: it.body }
    }
}
