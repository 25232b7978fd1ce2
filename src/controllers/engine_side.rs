//! The placement side of a backend server.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;

use crate::decide::{Engine, hash_bytes};
use crate::wire::{Instance, LoadReport, Standing};

/// What placement knows of the backend server `it`.
pub(crate) fn engine(it: &Instance, report: Option<&LoadReport>, sent: Arc<AtomicU64>) -> Engine {
    Engine {
        id: hash_bytes(it.name.as_bytes()),
        incarnation: report.map_or(0, |it| it.incarnation),
        weight: 1.0,
        leaving: it.standing == Standing::Leaving,
        reported: report.map_or(0, |it| it.tokens),
        sent,
    }
}
