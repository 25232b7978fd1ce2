//! Decisions without input or output: no clock but an argument, no randomness
//! but a seeded generator, and nothing else of this library.

mod engine;
mod entry;
mod hash;
pub mod once;
mod place;
mod verdict;

pub use engine::Engine;
pub use entry::{EntryRouter, entry_order};
pub use hash::{chat_key, combine, hash_bytes, weighted_score};
pub use place::{Choice, PlaceQuery, place};
pub use verdict::Verdict;
