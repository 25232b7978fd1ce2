//! Detection of requests that crash the engines that run them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::backend::TOKEN_HEADER;
use crate::decide::{FailurePoint, SuspectPolicy, Verdict, combine, hash_bytes, suspect_policy};
use crate::events::{Code, Fields};
use crate::filters::failure::Failure;
use crate::filters::forward::Chosen;
use crate::filters::{Reason, Refusal, Shared};
use crate::fleet::{Crash, CrashReport, RunningSuspect};
use crate::wire::{ChatRequest, LoadReport};

/// Time for an engine to answer a probe, and for peers to take a report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// When a caller should retry a suspect request that is running here.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Delays before each probe of an engine whose caller left.
const PROBE_DELAYS: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_secs(1), Duration::from_secs(4)];

/// The crash to report if an engine goes down while it runs a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct CrashCandidate {
    address: SocketAddr,
    crash: Crash,
}

/// Fingerprint of the model and messages, independent of the caller.
pub(crate) fn fingerprint(request: &ChatRequest) -> u64 {
    let messages = serde_json::to_vec(&request.messages).unwrap_or_default();
    combine(hash_bytes(&messages), hash_bytes(request.model.as_bytes()))
}

impl CrashCandidate {
    /// The candidate for the request with `fingerprint` on `chosen`. None if that
    /// incarnation is known to have crashed already, so that no later request is
    /// blamed for it.
    pub(crate) fn new(
        shared: &Shared,
        fingerprint: u64,
        chosen: &Chosen,
    ) -> Option<CrashCandidate> {
        let (server, incarnation) = (chosen.engine.id, chosen.engine.incarnation);
        if shared.crashes.has_crashed(server, incarnation) {
            return None;
        }
        let crash = Crash { fingerprint, server, incarnation, lift: 0 };
        Some(CrashCandidate { address: chosen.server.address, crash })
    }
}

/// Admits a request, in isolation if it is a suspect, or refuses it.
pub(crate) fn admit_suspect(
    shared: &Shared,
    fingerprint: u64,
    request: &str,
) -> Result<Option<RunningSuspect>, Refusal> {
    let settings = &shared.settings.crashes;
    if !shared.crashes.has_reports() {
        return Ok(None);
    }
    let lift = shared.view.peek().state.lift(fingerprint);
    let crashes = shared.crashes.crash_count(fingerprint, lift, shared.clock.now());
    let refuse = |message: &str, retry| {
        let message = format!("{message} ({request}, fingerprint {fingerprint:016x})");
        Err(Refusal::not_run(Reason::Suspect, message).retry_after(retry))
    };
    match suspect_policy(crashes, settings.limit) {
        SuspectPolicy::Normal => Ok(None),
        SuspectPolicy::Isolated => match shared.crashes.start_suspect(fingerprint) {
            Some(running) => Ok(Some(running)),
            None => refuse("the same suspect request is already running here", RETRY_AFTER),
        },
        SuspectPolicy::Reject => refuse("this request crashed backend servers", settings.release),
    }
}

/// Whether a failed attempt could mean that the engine crashed.
pub(crate) fn may_be_crash(failure: &Failure) -> bool {
    let is_broken =
        matches!(failure.point, FailurePoint::Exchange | FailurePoint::Body | FailurePoint::Failed);
    is_broken && failure.point.verdict() == Verdict::MayHaveRun
}

/// Probes an engine after the caller has left, as the request may still crash it.
/// Does nothing once [`CrashWatch::disarm`] was called.
#[derive(Debug)]
pub(crate) struct CrashWatch {
    shared: Arc<Shared>,
    candidate: Option<CrashCandidate>,
}

impl CrashWatch {
    /// Watches the engine of `candidate`, if there is one.
    pub(crate) fn new(shared: &Arc<Shared>, candidate: Option<CrashCandidate>) -> CrashWatch {
        CrashWatch { shared: Arc::clone(shared), candidate }
    }

    /// Ends the watch, because the request has ended or another watch replaces it.
    pub(crate) fn disarm(&mut self) -> Option<CrashCandidate> {
        self.candidate.take()
    }
}

impl Drop for CrashWatch {
    fn drop(&mut self) {
        let (Some(candidate), Ok(runtime)) = (self.candidate.take(), Handle::try_current()) else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        runtime.spawn(async move {
            for delay in PROBE_DELAYS {
                sleep(delay).await;
                if record_crash(&shared, &candidate).await {
                    return;
                }
            }
        });
    }
}

/// Records the crash if the engine did go down, and reports it to all routers
/// before the caller can send the request again. True when it crashed.
pub(crate) async fn record_crash(shared: &Arc<Shared>, candidate: &CrashCandidate) -> bool {
    if !has_crashed(shared, candidate).await {
        return false;
    }
    // A crash after the suspicion was lifted counts, whenever the request was sent.
    let lift = shared.view.peek().state.lift(candidate.crash.fingerprint);
    let now = shared.clock.now();
    let report = CrashReport { crash: Crash { lift, ..candidate.crash }, at: now };
    if !shared.crashes.insert(report, now) {
        return true;
    }
    let subject = format!("{}", candidate.address);
    let detail = format!("fingerprint {:016x}", candidate.crash.fingerprint);
    shared.events.record(Code::ServerCrashed, Fields { subject: &subject, detail: &detail });
    let own = shared.once.me().router;
    let view = shared.view.load();
    let peers = view.routers.iter().filter(|it| it.id != own).filter_map(|it| it.control);
    join_all(peers.map(|it| send_report(shared, it, &report))).await;
    true
}

/// Whether the engine is unreachable or has another incarnation. A timeout does
/// not count as a crash: the engine may just be slow.
async fn has_crashed(shared: &Shared, candidate: &CrashCandidate) -> bool {
    let url = format!("http://{}/load", candidate.address);
    match shared.upstream.unpooled.get(url).timeout(PROBE_TIMEOUT).send().await {
        Err(e) => !e.is_timeout(),
        Ok(reply) => {
            let known = candidate.crash.incarnation;
            let report = reply.json::<LoadReport>().await;
            report.is_ok_and(|it| known != 0 && it.incarnation != known)
        }
    }
}

async fn send_report(shared: &Shared, peer: SocketAddr, report: &CrashReport) {
    let wire = report.to_wire(shared.clock.now());
    let request = shared
        .http
        .post(format!("http://{peer}/v1/crashes"))
        .header(TOKEN_HEADER, &shared.settings.token)
        .timeout(PROBE_TIMEOUT)
        .body(rmp_serde::to_vec(&wire).unwrap_or_default());
    // Gossip carries the report to peers that do not answer here.
    let _ = request.send().await;
}
