//! The models and adapters that each engine is to hold, and the orders to load and unload
//! them.

mod assign;
mod claim_queue;
mod holder_state;
mod item;
mod step;

pub use assign::{Assignment, assign};
pub use claim_queue::{Claim, ClaimKind, ClaimQueue, ClaimState};
pub use holder_state::{HolderState, holder_state};
pub use item::{Holder, Item, LoadedItem};
pub use step::{Step, next_step};
