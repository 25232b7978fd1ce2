//! The chain of filters.

use crate::filters::{Call, Refusal, Shared};

/// One filter: it completes the call or refuses it.
#[derive(Debug, Clone, Copy)]
pub struct Filter {
    /// Name for events.
    pub name: &'static str,
    /// Applies the filter.
    pub apply: fn(&Shared, &mut Call) -> Result<(), Refusal>,
}

/// Filters in the order in which they apply.
#[derive(Debug, Clone, Copy)]
pub struct Chain {
    /// The filters.
    pub filters: &'static [Filter],
}

impl Chain {
    /// Applies all filters to `call`.
    ///
    /// # Errors
    /// Stops at the first refusal.
    pub fn apply(&self, shared: &Shared, call: &mut Call) -> Result<(), Refusal> {
        self.filters.iter().try_for_each(|it| (it.apply)(shared, call))
    }
}
