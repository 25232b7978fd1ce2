//! Calls under idempotency keys, and the owners of the keys.

key! {
    /// Hash of organisation, service and idempotency key.
    pub struct Scope(pub [u8; 16]);

    /// An incarnation of a router.
    pub struct Owner {
        /// Hash of the router's name.
        pub router: u64,
        /// Changes at each start of the router.
        pub incarnation: u64,
    }

    /// A call under an idempotency key.
    pub struct Op {
        /// Identifies the key.
        pub scope: Scope,
        /// Hash of method, path, query and body.
        pub body: u64,
    }
}

impl Scope {
    /// Returns the scope of `key` at `service` for `organisation`.
    pub fn new(organisation: &str, service: &str, key: &str) -> Scope {
        let mut hasher = blake3::Hasher::new();
        for part in [organisation, service, key] {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part.as_bytes());
        }
        let mut scope = [0; 16];
        scope.copy_from_slice(&hasher.finalize().as_bytes()[..16]);
        Scope(scope)
    }
}
