//! Claims of at-most-once calls in the log, and the queries of routers about idempotency keys.

use crate::decide::once::{Claim, Op, Owner, Scope};

wire! {
    /// A record of the claim stream: the claims of one router on a batch of keys.
    pub struct WireClaims {
        /// Hash of the router's name.
        pub router: u64,
        /// Its incarnation.
        pub incarnation: u64,
        /// For each claim, the scope in hexadecimal digits and the hash of the call.
        pub claims: Vec<(String, u64)>,
    }

    /// Query whether a router never received a key.
    pub struct KeyQuery {
        /// Scope of the key.
        pub scope: [u8; 16],
        /// Hash of the call.
        pub body: u64,
    }

    /// Response to [`KeyQuery`].
    pub struct KeyAnswer {
        /// Whether the router certainly received no call and no claim with the key: none was
        /// seen, and none can have been missed.
        pub unseen: bool,
    }

    /// Response to a caller that requested an idempotency key.
    pub struct NewKey {
        /// The key; callers may append `.` and their own text.
        pub key: String,
        /// How long it is valid, in milliseconds.
        pub good_ms: u64,
        /// Name of the router that issued it.
        pub router: String,
    }
}

impl WireClaims {
    /// Creates the record for claims of one owner.
    pub fn new<'a>(owner: Owner, claims: impl Iterator<Item = &'a Claim>) -> WireClaims {
        WireClaims {
            router: owner.router,
            incarnation: owner.incarnation,
            claims: claims.map(|it| (scope_text(&it.op.scope), it.op.body)).collect(),
        }
    }

    /// The claims in their order; malformed ones are skipped.
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
