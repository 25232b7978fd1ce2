//! The rules in force at this router.

use std::sync::Arc;

use arc_swap::ArcSwapOption;

use crate::rules::RuleSet;

/// Holds the newest rules; empty until the first are known.
///
/// Invariant: the version never falls.
#[derive(Debug, Default)]
pub struct RulesCell {
    current: ArcSwapOption<RuleSet>,
}

impl RulesCell {
    /// The rules in force.
    pub fn load(&self) -> Option<Arc<RuleSet>> {
        self.current.load_full()
    }

    /// Puts `rules` in force unless newer ones are; true when it did.
    pub fn advance(&self, rules: RuleSet) -> bool {
        let newer = self.load().is_none_or(|it| rules.version > it.version);
        if newer {
            self.current.store(Some(Arc::new(rules)));
        }
        newer
    }
}
