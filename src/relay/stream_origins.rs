//! Which software version began each stream that a caller may take up again.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::decide::hash_bytes;

/// Limit on the origins; beyond it, none is taken from other routers.
const MAX_ORIGINS: usize = 65_536;
/// How often telling other routers of an origin is tried.
const MAX_TELLS: u8 = 3;

key! {
    /// The software version that began a stream.
    pub struct StreamOrigin {
        /// Hash of the id of the attempt that brought the first event.
        pub stream: u64,
        /// Key of the software version.
        pub software: u64,
        /// When the caller no longer waits for the stream.
        pub deadline: Instant,
    }
}

impl StreamOrigin {
    /// Limit on the time until the deadline.
    pub const MAX_TIME: Duration = Duration::from_secs(600);
    /// How long an origin is kept after the deadline of its stream.
    pub const RETENTION_TIME: Duration = Duration::from_secs(5);
}

#[derive(Debug)]
struct Entry {
    origin: StreamOrigin,
    /// Hash of the service's name.
    service: u64,
    /// Other routers are still to be told of it.
    is_untold: bool,
    /// How often telling them may still be tried.
    tells: u8,
    /// It began here and has not ended well.
    is_open: bool,
    /// It is open, and the platform's store has no record of it.
    is_unwritten: bool,
}

impl Entry {
    fn is_expired(&self, now: Instant) -> bool {
        now >= self.origin.deadline + StreamOrigin::RETENTION_TIME
    }
}

/// The origins that this router knows, by the hash of the attempt's id.
#[derive(Debug, Default)]
pub struct StreamOrigins {
    entries: HashMap<u64, Entry>,
}

impl StreamOrigins {
    /// Adds a stream that goes on or begins at this router, at a server of `service`.
    pub fn record(&mut self, origin: StreamOrigin, service: &str) {
        let service = hash_bytes(service.as_bytes());
        let entry = || Entry {
            origin,
            service,
            is_untold: true,
            tells: MAX_TELLS,
            is_open: true,
            is_unwritten: true,
        };
        self.entries.entry(origin.stream).or_insert_with(entry);
    }

    /// Adds what another router tells; false if there is no room.
    pub fn merge(&mut self, origin: StreamOrigin, now: Instant) -> bool {
        if self.entries.len() >= MAX_ORIGINS {
            self.remove_expired(now);
        }
        if self.entries.len() >= MAX_ORIGINS {
            return false;
        }
        let entry = Entry {
            origin,
            service: 0,
            is_untold: false,
            tells: 0,
            is_open: false,
            is_unwritten: false,
        };
        self.entries.entry(origin.stream).or_insert(entry);
        true
    }

    /// Key of the software version that began `stream`, if it is known.
    pub fn software(&self, stream: u64, now: Instant) -> Option<u64> {
        let entry = self.entries.get(&stream).filter(|it| !it.is_expired(now))?;
        Some(entry.origin.software)
    }

    /// Notes that a stream has ended well: neither other routers nor the store need to know of it.
    pub fn end(&mut self, stream: u64) {
        if let Some(it) = self.entries.get_mut(&stream) {
            it.is_untold = false;
            it.is_open = false;
            it.is_unwritten = false;
        }
    }

    /// At most `limit` streams that began here and are to be written to the store, at the services
    /// whose hash is in `services`. They count as written from now on.
    pub fn take_unwritten(
        &mut self,
        services: &[u64],
        limit: usize,
        now: Instant,
    ) -> Vec<StreamOrigin> {
        let is_due = |it: &&mut Entry| {
            it.is_unwritten && services.contains(&it.service) && !it.is_expired(now)
        };
        let due = self.entries.values_mut().filter(is_due).take(limit);
        let taken = due.map(|it| {
            it.is_unwritten = false;
            it.origin
        });
        taken.collect()
    }

    /// Notes that the store may have no record of `origins`.
    pub fn record_unwritten(&mut self, origins: &[StreamOrigin]) {
        for origin in origins {
            if let Some(it) = self.entries.get_mut(&origin.stream) {
                it.is_unwritten = it.is_open;
            }
        }
    }

    /// Notes that the store may have lost all that was written.
    pub fn record_all_unwritten(&mut self) {
        self.entries.values_mut().for_each(|it| it.is_unwritten = it.is_open);
    }

    /// Streams that other routers are to be told of, at the services whose hash is in `services`.
    /// They count as told from now on.
    pub fn take_untold(&mut self, services: &[u64]) -> Vec<StreamOrigin> {
        let is_due = |it: &&mut Entry| it.is_untold && services.contains(&it.service);
        let mut taken = Vec::new();
        for it in self.entries.values_mut().filter(is_due) {
            it.is_untold = false;
            it.tells -= 1;
            taken.push(it.origin);
        }
        taken
    }

    /// Notes that telling another router of `origins` failed; it is tried a few times.
    pub fn record_untold(&mut self, origins: &[StreamOrigin]) {
        for origin in origins {
            if let Some(it) = self.entries.get_mut(&origin.stream) {
                it.is_untold = it.tells > 0;
            }
        }
    }

    /// Removes the origins of streams that nobody takes up any more.
    pub fn remove_expired(&mut self, now: Instant) {
        self.entries.retain(|_, it| !it.is_expired(now));
    }

    /// How many origins are known.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
