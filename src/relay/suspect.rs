//! Requests that crash the backend servers that run them.

use std::sync::Arc;
use std::time::Duration;

use slog::warn;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::decide::{SuspectPolicy, combine, hash_bytes, suspect_policy};
use crate::events::Code;
use crate::fleet::{Crash, CrashReport};
use crate::relay::pending_request::PendingRequest;
use crate::relay::{Refusal, Relay};
use crate::servers::Server;

/// Backend servers that may be lost to one request.
const CRASH_LIMIT: usize = 2;
/// Pause before the look at a server, as its port may close after its connections.
const LOOK_PAUSE: Duration = Duration::from_millis(20);
/// Time for a server to show that it lives.
const LOOK_TIMEOUT: Duration = Duration::from_millis(400);

impl Relay {
    /// Refuses a request that crashed backend servers. One that may have done so
    /// runs alone.
    pub(crate) fn enter_suspect(&self, job: &mut PendingRequest) -> Result<(), Refusal> {
        if !self.crashes.has_reports() || job.alone.is_some() {
            return Ok(());
        }
        let fingerprint = fingerprint(job);
        let deaths = self.crashes.crash_count(fingerprint, 0, self.clock.now());
        match suspect_policy(deaths, CRASH_LIMIT) {
            SuspectPolicy::Normal => Ok(()),
            SuspectPolicy::Isolated => {
                job.alone = self.crashes.start_suspect(fingerprint);
                job.alone.as_ref().map(|_| ()).ok_or(Refusal::Crashes)
            }
            SuspectPolicy::Reject => Err(Refusal::Crashes),
        }
    }

    /// Looks whether `server`, which broke off the run of a request, has died.
    pub(crate) fn look_after(self: &Arc<Relay>, job: &PendingRequest, server: &Server) {
        if self.crashes.has_crashed(server.hash, server.born) {
            return;
        }
        let fingerprint = fingerprint(job);
        let crash = Crash { fingerprint, server: server.hash, incarnation: server.born, lift: 0 };
        let (address, id) = (server.address, Arc::clone(&server.id));
        let relay = Arc::clone(self);
        let request = job.ask.id.clone();
        tokio::spawn(async move {
            sleep(LOOK_PAUSE).await;
            let lives = timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await;
            if !matches!(lives, Ok(Err(_))) {
                return;
            }
            let now = relay.clock.now();
            if relay.crashes.insert(CrashReport { crash, at: now }, now) {
                warn!(relay.request_log.logger(), "a backend server died while it ran a request";
                    "event" => Code::ServerCrashed.number(), "server" => &*id, "request" => request,
                    "fingerprint" => format!("{fingerprint:016x}"));
                relay.urgent_update.notify_one();
            }
        });
    }
}

/// What is the same each time a caller sends a request again.
fn fingerprint(job: &PendingRequest) -> u64 {
    let path = hash_bytes(job.head.uri.path().as_bytes());
    let key = hash_bytes(job.ask.key.as_deref().unwrap_or_default().as_bytes());
    combine(combine(path, key), hash_bytes(&job.body))
}
