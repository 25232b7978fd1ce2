//! Model checker: exhaustive search over the states of a model.

mod search;

pub use search::{Fault, Model, Report, search};
