//! The chain of filters.

use crate::filters::{Call, Refusal, Shared};

/// One filter: it fills in the call or refuses it.
#[derive(Debug, Clone, Copy)]
pub struct Filter {
    /// Name for events.
    pub name: &'static str,
    /// What it does.
    pub apply: fn(&Shared, &mut Call) -> Result<(), Refusal>,
}

/// Filters in their order.
#[derive(Debug, Clone, Copy)]
pub struct Chain {
    /// The filters.
    pub filters: &'static [Filter],
}

impl Chain {
    /// Sends `call` through all filters.
    ///
    /// # Errors
    /// Stops at the first refusal.
    pub fn apply(&self, shared: &Shared, call: &mut Call) -> Result<(), Refusal> {
        self.filters.iter().try_for_each(|it| (it.apply)(shared, call))
    }
}
