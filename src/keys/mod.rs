//! Authenticated values that callers hold and send back: chat hints and issued
//! idempotency keys.

mod hint;
mod issued;
mod ring;

pub use hint::{read_hint, write_hint};
pub use issued::{ISSUED_PREFIX, IssuedKey, KeyError, read_key, write_key};
pub use ring::{KeyRing, Purpose};
