//! The bounded store of recent events.

use std::cell::Cell;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use slog::{Logger, info};

use crate::clock::SharedClock;
use crate::events::shard::{Detail, Entry, Shard, Subject};
use crate::events::{Code, Event, EventPage, HybridClock, HybridTime};

/// Number of shards of the store. Threads are assigned to them in rotation, so that
/// traffic threads do not wait for each other and do not push out events of the
/// control thread.
const SHARDS: usize = 4;
/// Events stored by each shard unless the settings say otherwise.
const DEFAULT_RING: usize = 4_096;

/// Number of the next thread that records an event.
static NEXT_THREAD: AtomicUsize = AtomicUsize::new(0);

thread_local! {
    /// Number of this thread among those that record events.
    static THREAD: Cell<usize> = Cell::new(NEXT_THREAD.fetch_add(1, Ordering::Relaxed));
}

/// What an event is about.
#[derive(Debug, Clone, Copy, Default)]
pub struct Fields<'a> {
    /// Request, ticket or instance.
    pub subject: &'a str,
    /// Details.
    pub detail: &'a str,
}

key! {
    /// Numbers of events since the start.
    pub struct Totals {
        /// Events recorded.
        pub recorded: u64,
        /// Events dropped because the store was full.
        pub dropped: u64,
    }
}

/// Recent events of this process.
#[derive(Debug)]
pub struct EventLog {
    instance: String,
    clock: SharedClock,
    logger: Logger,
    hybrid: HybridClock,
    next: AtomicU64,
    shards: [Mutex<Shard>; SHARDS],
    /// Events stored by each shard.
    ring: usize,
    started_us: u64,
}

impl EventLog {
    /// An empty store for `instance` that also logs each event to `logger`.
    pub fn new(instance: &str, clock: SharedClock, logger: Logger) -> EventLog {
        let started_us = micros(clock.wall());
        EventLog {
            instance: instance.to_owned(),
            clock,
            logger,
            hybrid: HybridClock::default(),
            next: AtomicU64::new(0),
            shards: Default::default(),
            ring: DEFAULT_RING,
            started_us,
        }
    }

    /// Sets the number of events that each shard stores.
    pub fn with_ring(mut self, ring: usize) -> EventLog {
        self.ring = ring;
        self
    }

    /// Records an event; waits neither for a reader nor for the log output.
    pub fn record(&self, code: Code, fields: Fields<'_>) {
        let wall = self.clock.wall();
        info!(self.logger, "{}", code.text(); "event" => code.number(), "name" => code.name(),
            "subject" => fields.subject, "detail" => fields.detail);
        let shard = THREAD.with(Cell::get) % SHARDS;
        let mut entry = Entry {
            seq: 0,
            time: HybridTime::default(),
            at_us: micros(wall),
            code,
            subject: Subject::from_slice(fields.subject.as_bytes()),
            detail: Detail::from_slice(fields.detail.as_bytes()),
        };
        let mut shard = self.shards[shard].lock().unwrap();
        entry.seq = self.next.fetch_add(1, Ordering::Relaxed);
        entry.time = self.hybrid.tick(wall);
        shard.push(entry, self.ring);
    }

    /// Numbers of events recorded and dropped.
    pub fn totals(&self) -> Totals {
        let dropped = self.shards.iter().map(|it| it.lock().unwrap().dropped).sum();
        Totals { recorded: self.next.load(Ordering::Relaxed), dropped }
    }

    /// Time since the start of the process, by its wall clock.
    pub fn age(&self) -> Duration {
        let now = micros(self.clock.wall());
        Duration::from_micros(now.saturating_sub(self.started_us))
    }

    /// The current hybrid logical time, to be sent with a message.
    pub fn time(&self) -> HybridTime {
        self.hybrid.tick(self.clock.wall())
    }

    /// Advances the clock past the time that came with a message; an unreadable one is
    /// ignored.
    pub fn observe(&self, text: &str) {
        if let Ok(other) = text.parse() {
            self.hybrid.observe(other, self.clock.wall());
        }
    }

    /// Events from sequence number `from` on, oldest first.
    pub fn since(&self, from: u64) -> Vec<Event> {
        self.page(from).events
    }

    /// Events from sequence number `from` on, with the number of those dropped.
    pub fn page(&self, from: u64) -> EventPage {
        let (mut dropped, mut complete_from) = (0, 0);
        let mut found: Vec<Entry> = Vec::new();
        for shard in &self.shards {
            let shard = shard.lock().unwrap();
            let first = shard.entries.partition_point(|it| it.seq < from);
            found.extend(shard.entries.range(first..).cloned());
            dropped += shard.dropped;
            complete_from = complete_from.max(shard.complete_from);
        }
        found.sort_unstable_by_key(|it| it.seq);
        EventPage {
            instance: self.instance.clone(),
            started_us: self.started_us,
            now_us: micros(self.clock.wall()),
            dropped,
            complete_from,
            events: found.into_iter().map(|it| self.event(it)).collect(),
        }
    }

    fn event(&self, entry: Entry) -> Event {
        let text = |it: &[u8]| String::from_utf8_lossy(it).into_owned();
        Event {
            seq: entry.seq,
            time: entry.time,
            at_us: entry.at_us,
            code: entry.code.number(),
            name: entry.code.name().to_owned(),
            instance: self.instance.clone(),
            subject: text(&entry.subject),
            detail: text(&entry.detail),
        }
    }
}

fn micros(wall: SystemTime) -> u64 {
    wall.duration_since(UNIX_EPOCH).map_or(0, |it| it.as_micros() as u64)
}
