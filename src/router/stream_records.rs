//! What the platform's store keeps of streams that callers may take up, as this router has read it.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, UNIX_EPOCH};

use slog::{info, warn};
use tokio::sync::{mpsc, oneshot, watch};

use crate::events::Code;
use crate::relay::{MAX_WAITING_QUERIES, StreamOrigin};
use crate::router::cursor::Cursor;
use crate::router::origins::{from_wire, merge_origins};
use crate::router::{Router, Store, StoreError};
use crate::servers::{Change, HISTORY_TIME, Position, Registration, RouterProcess, StoreEra};
use crate::wire::{WireRegisteredSoftware, WireStartedStreams, WireStreamRecord};

/// Prefix of the keys of software versions.
const SOFTWARE_PREFIX: &str = "software-";
/// Prefix of the keys of streams that began.
const STREAMS_PREFIX: &str = "batch-";
/// How often a read may have to begin anew before it fails.
const MAX_RESETS: u32 = 3;

/// Key of the record of a registration of the software version with the key `software`.
pub(crate) fn software_key(software: u64, registration: Registration) -> String {
    match registration {
        Registration::Shared => format!("{SOFTWARE_PREFIX}{software:x}"),
        Registration::Process(RouterProcess { router, born }) => {
            format!("{SOFTWARE_PREFIX}{software:x}-{router:x}-{born:x}")
        }
    }
}

/// Key of the record `number` of streams that began at `process`.
pub(crate) fn streams_key(process: RouterProcess, number: u64) -> String {
    let RouterProcess { router, born } = process;
    format!("{STREAMS_PREFIX}{router:x}-{born:x}-{number:x}")
}

/// The inverse of [`software_key`].
fn read_software_key(key: &str) -> Option<(u64, Registration)> {
    let mut numbers = key.strip_prefix(SOFTWARE_PREFIX)?.split('-');
    let mut next = || u64::from_str_radix(numbers.next()?, 16).ok();
    let software = next()?;
    let registration = match (next(), next()) {
        (Some(router), Some(born)) => Registration::Process(RouterProcess { router, born }),
        _ => Registration::Shared,
    };
    Some((software, registration))
}

/// A record that is to be removed once nobody takes up its streams any more.
#[derive(Debug)]
pub(crate) struct WrittenRecord {
    /// Its key.
    pub key: String,
    /// When it may be removed.
    pub expires: Instant,
}

/// The state of reading: what was read is in the tables of the relay.
#[derive(Debug)]
pub(crate) struct StreamRecords {
    cursor: Mutex<Cursor>,
    /// Set to true once they were read, or could not be.
    tried: watch::Sender<bool>,
    /// Who waits for a read that is yet to begin.
    waiting: mpsc::Sender<oneshot::Sender<bool>>,
    /// Taken when the router starts.
    requests: Mutex<Option<mpsc::Receiver<oneshot::Sender<bool>>>>,
    /// Records of former processes of this router, and of processes that are gone for long.
    leftovers: Mutex<Vec<WrittenRecord>>,
}

impl Default for StreamRecords {
    fn default() -> StreamRecords {
        let (waiting, requests) = mpsc::channel(MAX_WAITING_QUERIES);
        StreamRecords {
            cursor: Mutex::default(),
            tried: watch::Sender::new(false),
            waiting,
            requests: Mutex::new(Some(requests)),
            leftovers: Mutex::default(),
        }
    }
}

impl StreamRecords {
    /// Reads the store from now on to the last record; false if that failed. What is known then
    /// is not older than this call.
    pub async fn refresh(&self) -> bool {
        let (done, result) = oneshot::channel();
        // Without room too many wait already.
        self.waiting.try_send(done).is_ok() && result.await.unwrap_or(false)
    }

    /// Waits until the records were read once, or could not be.
    pub async fn first_read(&self) {
        // The sender lives as long as `self`, so this cannot fail.
        let _ = self.tried.subscribe().wait_for(|it| *it).await;
    }

    /// To be called after the first read, whatever its result.
    pub fn end_first_read(&self) {
        self.tried.send_replace(true);
    }

    /// Up to where the records were read.
    pub fn position(&self) -> Option<Position> {
        self.cursor.lock().unwrap().position()
    }

    fn add_leftover(&self, record: WrittenRecord) {
        let mut leftovers = self.leftovers.lock().unwrap();
        if !leftovers.iter().any(|it| it.key == record.key) {
            leftovers.push(record);
        }
    }

    /// Records of gone processes that are to be removed.
    pub fn take_leftovers(&self) -> Vec<WrittenRecord> {
        std::mem::take(&mut self.leftovers.lock().unwrap())
    }
}

/// Reads the store for all who wait, for ever: one read for those that came before it.
pub(crate) async fn serve_reads<S: Store>(router: Arc<Router<S>>) {
    let Some(mut requests) = router.stream_records.requests.lock().unwrap().take() else {
        return;
    };
    let mut waiting = Vec::new();
    while requests.recv_many(&mut waiting, MAX_WAITING_QUERIES).await > 0 {
        let result = read_to_end(&router).await;
        if let Err(e) = &result {
            info!(router.logger, "{}", Code::StreamsUnread.text();
                "event" => Code::StreamsUnread.number(), "error" => %e);
        }
        for it in waiting.drain(..) {
            // Who asked may have given up meanwhile.
            let _ = it.send(result.is_ok());
        }
    }
}

/// Reads all records that were written before now and are not known yet.
async fn read_to_end<S: Store>(router: &Router<S>) -> Result<(), StoreError> {
    let mut resets = 0;
    while resets < MAX_RESETS {
        let offset = router.stream_records.cursor.lock().unwrap().offset();
        let Some(offset) = offset else {
            let found = router.store.announcements().await?;
            router.note_era(found.next.era);
            merge_records(router, found.streams, found.next);
            return Ok(());
        };
        match router.store.stream_records(offset).await {
            Ok(page) if router.stream_records.cursor.lock().unwrap().is_outdated(page.next) => {
                router.note_era(page.next.era);
                router.stream_records.cursor.lock().unwrap().reset();
                resets += 1;
            }
            Ok(page) => {
                router.note_era(page.next.era);
                merge_records(router, page.changes, page.next);
                if page.is_last {
                    return Ok(());
                }
            }
            Err(StoreError::Gap) => {
                router.stream_records.cursor.lock().unwrap().reset();
                resets += 1;
            }
            Err(e) => return Err(e),
        }
    }
    Err(StoreError::Gap)
}

/// Merges records that were read up to `next`.
pub(crate) fn merge_records<S: Store>(
    router: &Router<S>,
    changes: Vec<Change<WireStreamRecord>>,
    next: Position,
) {
    let now = router.relay.clock().now();
    for Change { key, value } in changes {
        match value {
            Some(Ok(WireStreamRecord::Software(it))) => {
                merge_software(router, key, it, next.era, now);
            }
            Some(Ok(WireStreamRecord::Streams(it))) => merge_streams(router, key, it, now),
            Some(Err(e)) => warn!(router.logger, "{}", Code::StreamRecordUnreadable.text();
                "event" => Code::StreamRecordUnreadable.number(), "key" => key, "error" => e),
            None => {
                if let Some((software, registration)) = read_software_key(&key) {
                    let mut servers = router.relay.servers.lock().unwrap();
                    servers.unregister_software(software, registration);
                }
            }
        }
    }
    router.stream_records.cursor.lock().unwrap().advance(next);
}

fn merge_streams<S: Store>(
    router: &Router<S>,
    key: String,
    record: WireStartedStreams,
    now: Instant,
) {
    let process = RouterProcess::from(record.process);
    let own = router.process();
    if process == own {
        return;
    }
    let written = UNIX_EPOCH.checked_add(Duration::from_millis(record.at_ms));
    let age = written.and_then(|it| router.relay.clock().wall().duration_since(it).ok());
    let is_old = age.is_some_and(|it| it > StreamOrigin::MAX_TIME);
    let deadlines = record.streams.iter().map(|it| from_wire(it, now).deadline);
    let last = deadlines.max().filter(|_| !is_old);
    if is_old || process.router == own.router {
        let expires = last.map_or(now, |it| it + StreamOrigin::RETENTION_TIME);
        router.stream_records.add_leftover(WrittenRecord { key, expires });
    }
    if !is_old {
        merge_origins(router, &record.streams);
    }
}

/// The time of a restoration that was noticed `at_ms` milliseconds after 1970.
fn noticed<S: Store>(router: &Router<S>, at_ms: u64, now: Instant) -> Instant {
    let at = UNIX_EPOCH.checked_add(Duration::from_millis(at_ms));
    let age = at.and_then(|it| router.relay.clock().wall().duration_since(it).ok());
    now.checked_sub(age.unwrap_or_default()).unwrap_or(now)
}

fn merge_software<S: Store>(
    router: &Router<S>,
    key: String,
    record: WireRegisteredSoftware,
    era: StoreEra,
    now: Instant,
) {
    let WireRegisteredSoftware { service, software, process, era: written, restored_ms } = record;
    let registration = Registration::from(process);
    {
        let mut servers = router.relay.servers.lock().unwrap();
        match (written, era) {
            // The store was restored since, and may lack what was written after it.
            (Some(written), StoreEra::Number(era)) if written < era => {
                servers.learn_restoration(era, now);
                servers.register_former_software(&service, software, registration, now);
            }
            _ => {
                servers.register_software(&service, software, registration, now);
                if let Some((era, at_ms)) = written.zip(restored_ms) {
                    servers.learn_restoration(era, noticed(router, at_ms, now));
                }
            }
        }
    }
    let own = router.process();
    let Registration::Process(process) = registration else {
        return;
    };
    // It counts until nobody takes up a stream of that process any more.
    if process.router == own.router && process != own {
        let expires = now + HISTORY_TIME;
        router.stream_records.add_leftover(WrittenRecord { key, expires });
    }
}
