//! A client's connection, and what is held for it.

use std::net::IpAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use tokio::sync::Notify;

use crate::decide::{ClientPhase, ClientState};
use crate::intake::progress::Progress;
use crate::intake::{Intake, Listener, MemoryBudget};

/// What an open connection takes before any request.
const CONNECTION_BYTES: usize = 24 * 1024;

/// The connection of a client.
#[derive(Debug)]
pub struct Client {
    pub(crate) intake: Arc<Intake>,
    pub(crate) listener: Listener,
    address: IpAddr,
    progress: Mutex<Progress>,
    /// Bytes of bodies and answers that are reserved for it.
    reserved: AtomicUsize,
    is_closed: AtomicBool,
    /// Notified when the connection is to be closed.
    closed: Notify,
}

impl Client {
    /// A client that has just connected.
    pub(crate) fn new(
        intake: &Arc<Intake>,
        listener: Listener,
        address: IpAddr,
        now: Instant,
    ) -> Client {
        intake.budget(listener).add(CONNECTION_BYTES);
        Client {
            intake: Arc::clone(intake),
            listener,
            address,
            progress: Mutex::new(Progress::new(now)),
            reserved: AtomicUsize::new(0),
            is_closed: AtomicBool::new(false),
            closed: Notify::new(),
        }
    }

    /// Where it connected from.
    pub(crate) fn address(&self) -> IpAddr {
        self.address
    }

    /// Bytes that are held for it.
    pub(crate) fn held(&self) -> usize {
        let progress = self.progress();
        self.reserved.load(Ordering::Relaxed) + progress.head_bytes + progress.stream_bytes
    }

    /// Requests that the connection be closed.
    pub(crate) fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.closed.notify_one();
    }

    /// Whether it was requested that the connection be closed.
    pub(crate) fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn until_closed(&self) {
        self.closed.notified().await;
    }

    /// Counts bytes that arrived.
    pub fn record_read(&self, bytes: usize, now: Instant) {
        let mut progress = self.progress();
        if progress.requests == 0 {
            if progress.sending_since.is_none() {
                progress.begin_sending(now);
            }
            progress.head_bytes += bytes;
            self.budget().add(bytes);
        }
        if progress.sending_since.is_some() {
            progress.record_read(bytes, now);
        }
    }

    /// Counts bytes that were written.
    pub fn record_write(&self, bytes: usize, now: Instant) {
        let mut progress = self.progress();
        progress.last_write = now;
        let released = bytes.min(progress.stream_bytes);
        progress.stream_bytes -= released;
        self.budget().release(released);
    }

    /// Notes whether part of an answer is not written.
    pub(crate) fn set_unwritten(&self, is_unwritten: bool, now: Instant) {
        let mut progress = self.progress();
        if is_unwritten && !progress.is_unwritten {
            progress.last_write = now;
        }
        progress.is_unwritten = is_unwritten;
        if !is_unwritten {
            self.budget().release(std::mem::take(&mut progress.stream_bytes));
        }
    }

    /// Counts bytes of a stream that are to be written.
    pub(crate) fn record_queued(&self, bytes: usize) {
        self.progress().stream_bytes += bytes;
        self.budget().add(bytes);
    }

    /// A request begins: its head is complete.
    pub(crate) fn begin_request(&self) {
        let mut progress = self.progress();
        progress.requests += 1;
        progress.sending_since = None;
        self.budget().release(std::mem::take(&mut progress.head_bytes));
    }

    /// A request ends.
    pub(crate) fn end_request(&self, now: Instant) {
        let mut progress = self.progress();
        progress.requests -= 1;
        progress.idle_since = now;
    }

    /// The body of a request begins to arrive.
    pub(crate) fn begin_body(self: &Arc<Self>, now: Instant) -> SendingBody {
        self.progress().begin_sending(now);
        SendingBody(Arc::clone(self))
    }

    /// Counts bytes that are reserved for it.
    pub(crate) fn add_reserved(&self, bytes: usize) {
        self.reserved.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Counts such bytes as released.
    pub(crate) fn remove_reserved(&self, bytes: usize) {
        self.reserved.fetch_sub(bytes, Ordering::Relaxed);
    }

    /// The state from which the connection to close is chosen.
    pub(crate) fn state(&self, now: Instant) -> ClientState {
        let progress = self.progress();
        let (phase, since) = match progress.sending_since {
            Some(since) => (ClientPhase::Sending, since),
            None if progress.is_unwritten => (ClientPhase::Reading, progress.last_write),
            None if progress.requests > 0 => (ClientPhase::Waiting, progress.idle_since),
            None => (ClientPhase::Idle, progress.idle_since),
        };
        let rate = progress.rate(now);
        drop(progress);
        ClientState { address: self.address, phase, since, rate, held: self.held() }
    }

    /// The budget for requests of its listener.
    pub(crate) fn budget(&self) -> &Arc<MemoryBudget> {
        self.intake.budget(self.listener)
    }

    fn progress(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap()
    }
}

impl Drop for Client {
    fn drop(&mut self) {
        let (head, stream) = {
            let progress = self.progress();
            (progress.head_bytes, progress.stream_bytes)
        };
        self.budget().release(CONNECTION_BYTES + head + stream);
    }
}

/// A body that arrives; dropped when it is complete or given up.
pub(crate) struct SendingBody(Arc<Client>);

impl Drop for SendingBody {
    fn drop(&mut self) {
        self.0.progress().sending_since = None;
    }
}

/// A client that counts against the limit on connections until dropped.
#[derive(Debug)]
pub struct OpenClient {
    pub(in crate::intake) client: Arc<Client>,
    pub(in crate::intake) number: u64,
}

impl OpenClient {
    /// The client.
    pub fn client(&self) -> &Arc<Client> {
        &self.client
    }
}

impl Drop for OpenClient {
    fn drop(&mut self) {
        self.client.intake.remove(self.number);
    }
}
