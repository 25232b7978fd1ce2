//! Which engine holds what, and the orders that bring it about.

mod assign;
mod book;
mod item;
mod keeper;
mod step;

pub use assign::{Assignment, assign};
pub use book::{Book, Claim, ClaimKind, Turn};
pub use item::{Holder, Item, Present};
pub use keeper::{Keeper, keeper};
pub use step::{Step, next_step};
