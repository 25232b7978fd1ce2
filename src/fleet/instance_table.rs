//! The instance list as the fleet knows it. Few routers read it from the platform;
//! gossip spreads the changes.

use std::collections::BTreeMap;

use crate::wire::{Instance, InstanceState, WireInstanceEntry};

/// How many messages carry a change.
const SENDS: u32 = 4;
/// Estimated size of an entry with an instance in a message, in bytes, besides its
/// name.
const INSTANCE_BYTES: usize = 160;
/// Estimated size of an entry of an instance that is gone, in bytes, besides its
/// name.
const GONE_BYTES: usize = 12;

#[derive(Debug)]
struct Entry {
    version: u64,
    /// `None` once the instance is gone.
    instance: Option<Instance>,
    /// Messages that are still to carry the change.
    sends: u32,
}

/// Entries by instance name, each with a version that only grows.
#[derive(Debug, Default)]
pub struct InstanceTable {
    entries: BTreeMap<String, Entry>,
}

impl InstanceTable {
    /// Replaces the content by the list that the platform returned; returns the
    /// names whose entry changed.
    pub fn update(&mut self, listed: Vec<Instance>) -> Vec<String> {
        let mut listed: BTreeMap<String, Instance> =
            listed.into_iter().map(|it| (it.name.clone(), it)).collect();
        // The peers of a router that has just started already know its first list.
        let sends = if self.entries.is_empty() { 0 } else { SENDS };
        let mut changed = Vec::new();
        for (name, entry) in &mut self.entries {
            let instance = listed.remove(name);
            if instance != entry.instance {
                entry.version += 1;
                entry.instance = instance;
                entry.sends = SENDS;
                changed.push(name.clone());
            }
        }
        for (name, it) in listed {
            changed.push(name.clone());
            self.entries.insert(name, Entry { version: 1, instance: Some(it), sends });
        }
        changed
    }

    /// Merges an entry received from a peer; true when it changed the instance or
    /// added an entry. Of two entries with the same version, the one further
    /// towards removal wins: live, leaving, gone.
    pub fn merge(&mut self, received: WireInstanceEntry) -> bool {
        let instance = received.instance.filter(|it| it.name == received.name);
        let new = Entry { version: received.version, instance, sends: SENDS };
        match self.entries.get_mut(&received.name) {
            Some(old) if (old.version, rank(old)) >= (new.version, rank(&new)) => false,
            Some(old) => {
                let changed = old.instance != new.instance;
                *old = new;
                changed
            }
            None => {
                self.entries.insert(received.name, new);
                true
            }
        }
    }

    /// All instances.
    pub fn instances(&self) -> impl Iterator<Item = &Instance> {
        self.entries.values().filter_map(|it| it.instance.as_ref())
    }

    /// The instance called `name`.
    pub fn get(&self, name: &str) -> Option<&Instance> {
        self.entries.get(name)?.instance.as_ref()
    }

    /// Changes still to be sent to peers, within about `max_bytes`, the least sent
    /// first; each is counted as sent.
    pub fn pending(&mut self, max_bytes: usize) -> Vec<WireInstanceEntry> {
        let mut remaining = max_bytes;
        let mut found = Vec::new();
        let mut pending: Vec<_> = self.entries.iter_mut().filter(|(_, it)| it.sends > 0).collect();
        pending.sort_by_key(|(_, it)| std::cmp::Reverse(it.sends));
        for (name, entry) in pending {
            let fixed = if entry.instance.is_some() { INSTANCE_BYTES } else { GONE_BYTES };
            let bytes = fixed + name.len();
            if bytes > remaining {
                break;
            }
            remaining -= bytes;
            entry.sends -= 1;
            found.push(to_wire(name, entry));
        }
        found
    }

    /// All entries, for a router that has just joined.
    pub fn entries(&self) -> Vec<WireInstanceEntry> {
        self.entries.iter().map(|(name, it)| to_wire(name, it)).collect()
    }
}

/// Order of entries with the same version: the higher rank wins.
fn rank(entry: &Entry) -> u8 {
    match entry.instance.as_ref().map(|it| it.standing) {
        Some(InstanceState::Live) => 0,
        Some(InstanceState::Leaving) => 1,
        None => 2,
    }
}

fn to_wire(name: &str, entry: &Entry) -> WireInstanceEntry {
    WireInstanceEntry {
        version: entry.version,
        name: name.to_owned(),
        instance: entry.instance.clone(),
    }
}
