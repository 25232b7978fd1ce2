//! Writes to the platform's store which software versions serve and, while a service has several,
//! which streams they began, so that this outlives all routers.

use std::sync::Arc;
use std::time::{Duration, Instant, UNIX_EPOCH};

use slog::{info, warn};
use tokio::time::sleep;

use crate::events::Code;
use crate::relay::StreamOrigin;
use crate::router::origins::{mixed_services, to_wire};
use crate::router::stream_records::{WrittenRecord, software_key, streams_key};
use crate::router::{Router, Store, StoreError, StreamRecord};
use crate::servers::{DueRegistration, RegisteredSoftware, Registration, StoreEra};
use crate::wire::{WireRegisteredSoftware, WireStartedStreams, WireStreamRecord};

/// Shortest pause between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(250);
/// Pause for each router of the fleet: one partition of the store takes all their writes.
const WRITE_INTERVAL_PER_ROUTER: Duration = Duration::from_millis(4);
/// How long a router that polls a reader leaves it to the readers to register a version.
const FOLLOWER_WAIT: Duration = Duration::from_secs(2);
/// How long records that may be removed wait for another write.
const REMOVAL_WAIT: Duration = Duration::from_secs(10);
/// Limit on the streams in one record.
const MAX_STREAMS: usize = 1_000;
/// The store refuses a write under a condition that does not hold.
const PRECONDITION_FAILED: u16 = 412;

/// Writes what is due, for ever.
pub(crate) async fn write_streams<S: Store>(router: Arc<Router<S>>) {
    let mut writer = StreamWriter::default();
    loop {
        sleep(write_interval(&router)).await;
        let result = match writer.write(&router).await {
            Ok(()) => remove_outdated(&router).await,
            Err(e) => Err(e),
        };
        writer.log_failure(&router, result);
    }
}

fn write_interval<S: Store>(router: &Router<S>) -> Duration {
    let now = router.relay.clock().now();
    let routers = router.peers.lock().unwrap().alive_count(now) as u32 + 1;
    WRITE_INTERVAL.max(WRITE_INTERVAL_PER_ROUTER * routers)
}

/// What this process has written.
#[derive(Debug, Default)]
struct StreamWriter {
    written: Vec<WrittenRecord>,
    next_number: u64,
    /// Since when servers have versions that are to be registered for all.
    unregistered_since: Option<Instant>,
    is_failing: bool,
}

impl StreamWriter {
    async fn write<S: Store>(&mut self, router: &Router<S>) -> Result<(), StoreError> {
        let software = self.due_software(router).await;
        let now = router.relay.clock().now();
        let origins = {
            let services = mixed_services(router);
            router.relay.origins.lock().unwrap().take_unwritten(&services, MAX_STREAMS, now)
        };
        self.written.extend(router.stream_records.take_leftovers());
        let is_write_due = !software.is_empty() || !origins.is_empty();
        let removed = self.take_expired(is_write_due, now);
        let stamp = EraStamp::new(router, now);
        let mut records: Vec<StreamRecord> =
            software.iter().map(|it| software_record(it, stamp)).collect();
        records.extend(removed.iter().map(|it| removal(it.key.clone())));
        if !origins.is_empty() {
            records.push(self.streams_record(router, &origins, now));
        }
        if records.is_empty() {
            return Ok(());
        }
        match router.store.put_stream_records(&records, None).await {
            Ok(era) => {
                router.note_era(era);
                if stamp.is_of(era) {
                    register(router, &software, now);
                }
                Ok(())
            }
            Err(e) => {
                if !origins.is_empty() {
                    self.undo_streams_record();
                }
                router.relay.origins.lock().unwrap().record_unwritten(&origins);
                self.written.extend(removed);
                Err(e)
            }
        }
    }

    /// Versions at which this process may not begin streams yet. Most routers leave it to those that
    /// read the store to register what all need.
    async fn due_software<S: Store>(&mut self, router: &Router<S>) -> Vec<DueRegistration> {
        let unregistered = || router.relay.servers.lock().unwrap().unregistered();
        let (shared, own): (Vec<_>, Vec<_>) =
            unregistered().into_iter().partition(|it| it.registration == Registration::Shared);
        if shared.is_empty() {
            self.unregistered_since = None;
            return own;
        }
        let now = router.relay.clock().now();
        let since = *self.unregistered_since.get_or_insert(now);
        let is_due = router.is_reader() || now.saturating_duration_since(since) >= FOLLOWER_WAIT;
        // Another router may have registered them.
        if !is_due || !router.stream_records.refresh().await {
            return own;
        }
        unregistered()
    }

    /// A record of the streams `origins`.
    fn streams_record<S: Store>(
        &mut self,
        router: &Router<S>,
        origins: &[StreamOrigin],
        now: Instant,
    ) -> StreamRecord {
        let process = router.process();
        let at = router.relay.clock().wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let record = WireStartedStreams {
            process: process.into(),
            at_ms: at.as_millis() as u64,
            streams: origins.iter().map(|it| to_wire(it, now)).collect(),
        };
        let key = streams_key(process, self.next_number);
        self.next_number += 1;
        let last = origins.iter().map(|it| it.deadline).max().unwrap_or(now);
        let expires = last + StreamOrigin::RETENTION_TIME;
        self.written.push(WrittenRecord { key: key.clone(), expires });
        StreamRecord { key, value: Some(WireStreamRecord::Streams(record)) }
    }

    /// Uses the key of the last record again, so that failed writes leave no keys to remove.
    fn undo_streams_record(&mut self) {
        self.written.pop();
        self.next_number -= 1;
    }

    /// Records that are to be removed now: those that have expired, if others are written with
    /// them or one has waited for long.
    fn take_expired(&mut self, is_write_due: bool, now: Instant) -> Vec<WrittenRecord> {
        let has_waited = |it: &WrittenRecord| now >= it.expires + REMOVAL_WAIT;
        if !is_write_due && !self.written.iter().any(has_waited) {
            return Vec::new();
        }
        let (expired, kept) =
            std::mem::take(&mut self.written).into_iter().partition(|it| now >= it.expires);
        self.written = kept;
        expired
    }

    fn log_failure<S: Store>(&mut self, router: &Router<S>, result: Result<(), StoreError>) {
        if let Err(e) = &result
            && !self.is_failing
        {
            warn!(router.logger, "{}", Code::StreamsUnwritten.text();
                "event" => Code::StreamsUnwritten.number(), "error" => %e);
        }
        self.is_failing = result.is_err();
    }
}

/// The state of the store in which a registration is written.
#[derive(Debug, Clone, Copy)]
struct EraStamp {
    /// Its number, if the store names one.
    era: Option<u64>,
    /// When it was noticed that it follows a restoration, in milliseconds since 1970.
    restored_ms: Option<u64>,
}

impl EraStamp {
    /// The state that `router` knows of at `now`.
    fn new<S: Store>(router: &Router<S>, now: Instant) -> EraStamp {
        let StoreEra::Number(era) = *router.store_era.lock().unwrap() else {
            return EraStamp { era: None, restored_ms: None };
        };
        let restored = router.relay.servers.lock().unwrap().restored_at(era);
        let wall = router.relay.clock().wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let ms = |at| wall.saturating_sub(now.saturating_duration_since(at)).as_millis() as u64;
        EraStamp { era: Some(era), restored_ms: restored.map(ms) }
    }

    /// Whether what bears it was written to the store while that was in the state `era`. If not,
    /// the store was restored right before, and the registration has to be written again.
    fn is_of(self, era: StoreEra) -> bool {
        match era {
            StoreEra::Number(era) => self.era.is_none_or(|it| it == era),
            StoreEra::Unnamed | StoreEra::Unreadable => true,
        }
    }
}

fn software_record(due: &DueRegistration, stamp: EraStamp) -> StreamRecord {
    let record = WireRegisteredSoftware {
        service: due.service.clone(),
        software: due.software,
        process: due.registration.into(),
        era: stamp.era,
        restored_ms: stamp.restored_ms,
    };
    let software = RegisteredSoftware::key(&due.service, due.software);
    StreamRecord {
        key: software_key(software, due.registration),
        value: Some(WireStreamRecord::Software(record)),
    }
}

fn removal(key: String) -> StreamRecord {
    StreamRecord { key, value: None }
}

fn register<S: Store>(router: &Router<S>, written: &[DueRegistration], now: Instant) {
    let mut servers = router.relay.servers.lock().unwrap();
    for DueRegistration { service, software, registration } in written {
        servers.register_software(service, *software, *registration, now);
        info!(router.logger, "{}", Code::SoftwareRegistered.text();
            "event" => Code::SoftwareRegistered.number(), "service" => service,
            "software" => format!("{software:x}"),
            "for_all" => *registration == Registration::Shared);
    }
}

/// Removes the registrations of versions that have not served for long. A version that is the
/// only one left is registered for all.
async fn remove_outdated<S: Store>(router: &Router<S>) -> Result<(), StoreError> {
    let due = || {
        let servers = router.relay.servers.lock().unwrap();
        (servers.outdated_registrations(), servers.unshared())
    };
    let is_due = {
        let (outdated, unshared) = due();
        !outdated.is_empty() || !unshared.is_empty()
    };
    if !is_due || !router.is_reader() || !router.stream_records.refresh().await {
        return Ok(());
    }
    let ((outdated, unshared), at) = (due(), router.stream_records.position());
    let removed = outdated.iter().map(|(key, it)| removal(software_key(*key, *it)));
    let now = router.relay.clock().now();
    let stamp = EraStamp::new(router, now);
    let shared = unshared.iter().map(|it| software_record(it, stamp));
    let records: Vec<StreamRecord> = shared.chain(removed).collect();
    if records.is_empty() {
        return Ok(());
    }
    match router.store.put_stream_records(&records, at).await {
        Ok(era) => {
            router.note_era(era);
            if !stamp.is_of(era) {
                return Ok(());
            }
        }
        // Something was written meanwhile, which may be a version that is back.
        Err(StoreError::Refused(PRECONDITION_FAILED)) => return Ok(()),
        Err(e) => return Err(e),
    }
    register(router, &unshared, now);
    let mut servers = router.relay.servers.lock().unwrap();
    outdated.iter().for_each(|(key, it)| servers.unregister_software(*key, *it));
    Ok(())
}
