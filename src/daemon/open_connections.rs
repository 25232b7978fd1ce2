//! Counts of open connections, in all and by address.

use std::collections::HashMap;
use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use crate::settings::Limits;

#[derive(Debug, Default)]
struct Counts {
    all: usize,
    by_address: HashMap<IpAddr, usize>,
}

/// Open connections of one listener.
#[derive(Debug)]
pub(crate) struct OpenConnections {
    most: usize,
    most_each: usize,
    counts: Mutex<Counts>,
}

/// One open connection; counted until dropped.
#[derive(Debug)]
pub(crate) struct OpenConnection {
    all: Arc<OpenConnections>,
    address: IpAddr,
}

impl OpenConnections {
    /// None yet.
    pub(crate) fn new(limits: &Limits) -> Arc<OpenConnections> {
        Arc::new(OpenConnections {
            most: limits.connections,
            most_each: limits.address_connections,
            counts: Mutex::default(),
        })
    }

    /// Counts a connection from `address`, unless there are too many.
    pub(crate) fn enter(self: &Arc<Self>, address: IpAddr) -> Option<OpenConnection> {
        let mut counts = self.counts();
        let own = counts.by_address.get(&address).copied().unwrap_or(0);
        if counts.all >= self.most || own >= self.most_each {
            return None;
        }
        counts.all += 1;
        counts.by_address.insert(address, own + 1);
        Some(OpenConnection { all: Arc::clone(self), address })
    }

    /// How many are open.
    pub(crate) fn count(&self) -> usize {
        self.counts().all
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.counts.lock().unwrap()
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut counts = self.all.counts();
        counts.all -= 1;
        if let Some(own) = counts.by_address.get_mut(&self.address) {
            *own -= 1;
            if *own == 0 {
                counts.by_address.remove(&self.address);
            }
        }
    }
}
