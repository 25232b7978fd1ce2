//! Backend servers in the form that placement needs.

use std::sync::Arc;

use crate::decide::{Engine, SentTokens, hash_bytes};
use crate::wire::{Instance, InstanceState, LoadReport};

/// The backend server `it` as placement sees it; without a load report its
/// incarnation is 0 and its weight 1.
pub(crate) fn placement_engine(
    it: &Instance,
    report: Option<&LoadReport>,
    sent: Arc<SentTokens>,
) -> Engine {
    Engine {
        id: hash_bytes(it.name.as_bytes()),
        incarnation: report.map_or(0, |it| it.incarnation),
        weight: report.map_or(1.0, |it| it.slots.max(1) as f64),
        leaving: it.standing == InstanceState::Leaving,
        reported: report.map_or(0, |it| it.tokens),
        sent,
    }
}
