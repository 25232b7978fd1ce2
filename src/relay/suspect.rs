//! Isolates requests that may crash the backend servers that run them.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use rand::seq::IteratorRandom;
use slog::warn;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::decide::{RunProgress, SuspectPolicy, combine, hash_bytes, suspect_policy};
use crate::events::Code;
use crate::fleet::{Crash, CrashReport};
use crate::relay::pending_request::PendingRequest;
use crate::relay::{Refusal, Relay};
use crate::servers::Server;

/// Limit on the backend servers that one request may crash.
const CRASH_LIMIT: usize = 2;
/// Pause before a server is probed, as its port may close after its connections.
const PROBE_PAUSE: Duration = Duration::from_millis(20);
/// Time within which a probed server must accept or refuse the connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Other servers that are probed to compare.
const COMPARED_SERVERS: usize = 3;

impl Relay {
    /// Refuses a request that has crashed backend servers. A suspect, which may have
    /// crashed one, runs isolated.
    pub(crate) fn apply_suspect_policy(&self, pending: &mut PendingRequest) -> Result<(), Refusal> {
        if !self.crashes.has_reports() || pending.isolated_run.is_some() {
            return Ok(());
        }
        let fingerprint = fingerprint(pending);
        let crashes = self.crashes.crash_count(fingerprint, 0, self.clock.now());
        match suspect_policy(crashes, CRASH_LIMIT) {
            SuspectPolicy::Normal => Ok(()),
            SuspectPolicy::Isolated => {
                pending.isolated_run = self.crashes.start_suspect(fingerprint);
                pending.isolated_run.as_ref().map(|_| ()).ok_or(Refusal::Crashes)
            }
            SuspectPolicy::Reject => Err(Refusal::Crashes),
        }
    }

    /// Checks by a probe whether `server`, which cut off the run of a request at `progress`,
    /// has crashed: it has if a new connection fails before the timeout, while one to another
    /// server of its service is established. Otherwise this router may be cut off from all.
    pub(crate) fn check_for_crash(
        self: &Arc<Relay>,
        pending: &PendingRequest,
        server: &Server,
        progress: RunProgress,
    ) {
        let run = self.cut_run(pending, server, progress);
        if self.crashes.has_crashed(server.hash, server.born) {
            // A request without an answer may have been sent after the crash.
            if progress != RunProgress::Unanswered {
                self.record_cut_run(run);
            }
            return;
        }
        let fingerprint = fingerprint(pending);
        let crash = Crash { fingerprint, server: server.hash, incarnation: server.born, lift: 0 };
        let (address, id) = (server.address, Arc::clone(&server.id));
        let relay = Arc::clone(self);
        let service = pending.trace.service.clone();
        let request = pending.meta.id.clone();
        let parts = pending.meta.shared_parts_text();
        tokio::spawn(async move {
            sleep(PROBE_PAUSE).await;
            let probe = timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await;
            if !matches!(probe, Ok(Err(_))) || !relay.reaches_another(&service, crash.server).await
            {
                return;
            }
            let now = relay.clock.now();
            relay.record_cut_run(run);
            if relay.crashes.insert(CrashReport { crash, at: now }, now) {
                warn!(relay.request_log.logger(), "a backend server crashed while it ran a request";
                    "event" => Code::ServerCrashed.number(), "server" => &*id, "request" => request,
                    "fingerprint" => format!("{fingerprint:016x}"), "parts" => parts,
                    "progress" => progress.as_str());
                relay.urgent_update.notify_one();
            }
        });
    }
}

impl Relay {
    /// Whether a connection to a server of `service` other than `server` is established. True
    /// if there is none, as nothing can be compared then.
    async fn reaches_another(&self, service: &str, server: u64) -> bool {
        if self.is_cut_off(service) {
            return false;
        }
        let servers = self.of_service(service);
        let others = servers.iter().filter(|it| it.hash != server);
        let compared = others.choose_multiple(&mut rand::rng(), COMPARED_SERVERS);
        if compared.is_empty() {
            return true;
        }
        let probes = compared.iter().map(|it| {
            let probe = timeout(PROBE_TIMEOUT, TcpStream::connect(it.address));
            Box::pin(async move { probe.await.ok()?.ok() })
        });
        let mut probes: FuturesUnordered<_> = probes.collect();
        while let Some(connected) = probes.next().await {
            if connected.is_some() {
                return true;
            }
        }
        false
    }
}

/// Hash of the path, key and body, equal each time a caller repeats the request.
fn fingerprint(pending: &PendingRequest) -> u64 {
    let path = hash_bytes(pending.head.uri.path().as_bytes());
    let key = hash_bytes(pending.meta.key.as_deref().unwrap_or_default().as_bytes());
    combine(combine(path, key), hash_bytes(&pending.body))
}
