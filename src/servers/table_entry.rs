//! A row of the table of backend servers.

use std::sync::Arc;
use std::time::Instant;

use crate::servers::{Server, ServerRecord, StatedCondition};

/// What is known of a backend server by its id.
#[derive(Debug)]
pub(super) struct Entry {
    /// Its newest record.
    pub record: ServerRecord,
    /// What the incarnation stated; it outlives changes of the record.
    pub stated: Arc<StatedCondition>,
    /// Absent when its newest record cannot be used or is gone.
    pub server: Option<Arc<Server>>,
    /// When its record went; absent while the record exists.
    pub gone: Option<Instant>,
    /// Its record went during an outage: the server is still used until then.
    pub retained_until: Option<Instant>,
    /// Revision of its last change that is relevant to other routers.
    pub revision: u64,
}

impl Entry {
    /// Whether `record` says of a server that is in use what is known already.
    pub fn is_heartbeat(&self, record: &ServerRecord) -> bool {
        self.server.is_some() && self.gone.is_none() && record.is_heartbeat_after(&self.record)
    }
}
