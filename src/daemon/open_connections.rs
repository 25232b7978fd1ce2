//! Limits on open connections, in total and per address.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::settings::Limits;

#[derive(Debug, Default)]
struct Counts {
    total: usize,
    by_address: HashMap<IpAddr, usize>,
}

/// Open connections of one listener.
#[derive(Debug)]
pub(crate) struct OpenConnections {
    max_total: usize,
    max_per_address: usize,
    counts: Mutex<Counts>,
}

/// An open connection; it counts until dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    all: Arc<OpenConnections>,
    address: IpAddr,
}

impl OpenConnections {
    /// Creates the limits, with no connection open.
    pub(crate) fn new(limits: &Limits) -> Arc<OpenConnections> {
        Arc::new(OpenConnections {
            max_total: limits.connections,
            max_per_address: limits.address_connections,
            counts: Mutex::default(),
        })
    }

    /// Counts a new connection from `address`; `None` when a limit is reached.
    pub(crate) fn try_open(self: &Arc<Self>, address: IpAddr) -> Option<OpenConnection> {
        let mut counts = self.counts();
        let from_address = counts.by_address.get(&address).copied().unwrap_or(0);
        if counts.total >= self.max_total || from_address >= self.max_per_address {
            return None;
        }
        counts.total += 1;
        counts.by_address.insert(address, from_address + 1);
        Some(OpenConnection { all: Arc::clone(self), address })
    }

    /// Number of open connections.
    pub(crate) fn count(&self) -> usize {
        self.counts().total
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut counts = self.all.counts();
        counts.total -= 1;
        if let Some(from_address) = counts.by_address.get_mut(&self.address) {
            *from_address -= 1;
            if *from_address == 0 {
                counts.by_address.remove(&self.address);
            }
        }
    }
}
