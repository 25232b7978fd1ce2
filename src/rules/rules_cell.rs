//! The rules in force at this router.

use std::sync::Arc;

use arc_swap::ArcSwapOption;

use crate::rules::RuleSet;

/// Stores the newest rules; empty until the first are known.
///
/// Invariant: the version never decreases.
#[derive(Debug, Default)]
pub struct RulesCell {
    current: ArcSwapOption<RuleSet>,
}

impl RulesCell {
    /// The rules in force.
    pub fn load(&self) -> Option<Arc<RuleSet>> {
        self.current.load_full()
    }

    /// Puts `rules` in force if they are newer than the current ones; true if so.
    pub fn advance(&self, rules: RuleSet) -> bool {
        let is_newer = self.load().is_none_or(|it| rules.version > it.version);
        if is_newer {
            self.current.store(Some(Arc::new(rules)));
        }
        is_newer
    }
}
