//! Which engine holds what, and the orders that bring it about.

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
