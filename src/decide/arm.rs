//! Assignment of chats to the arms of an experiment.

use crate::decide::{combine, hash_bytes};

/// Whether the chat with key `chat` takes part in the experiment called `name`
/// with the given share, 0 to 1.
///
/// The result is the same on every router. A chat that takes part at one share does so
/// at every larger share, so that a change of the share moves the fewest chats.
pub fn takes_part(name: &str, chat: u64, share: f64) -> bool {
    let bits = combine(hash_bytes(name.as_bytes()), chat) >> 11;
    (bits as f64) < share * (1u64 << 53) as f64
}
