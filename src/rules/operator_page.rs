//! Records of operators, as read from the store.

use crate::rules::{EvacuationChange, RuleSet};
use crate::servers::Page;

/// A sequence of records of operators.
#[derive(Debug, Clone)]
pub struct OperatorPage {
    /// Versions of the rules, and up to where the records were read.
    pub rules: Page<RuleSet>,
    /// Failure domains that were evacuated or taken back, in order. If the page is complete,
    /// no others are evacuated.
    pub evacuations: Vec<EvacuationChange>,
}
