//! The trial of a part that may crash backend servers.

use std::sync::{Arc, Mutex};

use crate::decide::PartSuspects;

/// Keeps other requests with a part off the backend servers until dropped.
#[derive(Debug)]
pub(crate) struct PartTrial {
    suspects: Arc<Mutex<PartSuspects>>,
    part: u64,
}

impl PartTrial {
    /// The trial of `part`, which `suspects` has granted.
    pub fn new(suspects: &Arc<Mutex<PartSuspects>>, part: u64) -> PartTrial {
        PartTrial { suspects: Arc::clone(suspects), part }
    }
}

impl Drop for PartTrial {
    fn drop(&mut self) {
        self.suspects.lock().unwrap().end_trial(self.part);
    }
}
