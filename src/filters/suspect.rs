//! Requests that crash the engines that run them.

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

/// Time for an engine to show that it lives, and for peers to take a report.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);
/// When a suspect that runs here may come again.
const RETRY: Duration = Duration::from_secs(1);

/// Pauses before each look at an engine whose caller left.
const LOOKS: [Duration; 3] =
    [Duration::from_millis(100), Duration::from_secs(1), Duration::from_secs(4)];

/// What is at risk while a request runs on an engine.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Risk {
    address: SocketAddr,
    crash: Crash,
}

/// Fingerprint of what is asked, whoever asks.
pub(crate) fn fingerprint(request: &ChatRequest) -> u64 {
    let messages = serde_json::to_vec(&request.messages).unwrap_or_default();
    combine(hash_bytes(&messages), hash_bytes(request.model.as_bytes()))
}

impl Risk {
    /// The risk of running the request with `fingerprint` on `chosen`; none if
    /// that one is dead already, so that nobody is blamed for its death later.
    pub(crate) fn new(shared: &Shared, fingerprint: u64, chosen: &Chosen) -> Option<Risk> {
        let (server, incarnation) = (chosen.engine.id, chosen.engine.incarnation);
        if shared.crashes.is_dead(server, incarnation) {
            return None;
        }
        let crash = Crash { fingerprint, server, incarnation, lift: 0 };
        Some(Risk { address: chosen.server.address, crash })
    }
}

/// Lets a request run, alone if it is a suspect, or refuses it.
pub(crate) fn enter(
    shared: &Shared,
    fingerprint: u64,
    request: &str,
) -> Result<Option<RunningSuspect>, Refusal> {
    let settings = &shared.settings.crashes;
    if !shared.crashes.is_used() {
        return Ok(None);
    }
    let lift = shared.view.peek().state.lift(fingerprint);
    let deaths = shared.crashes.deaths(fingerprint, lift, shared.clock.now());
    let refuse = |message: &str, retry| {
        let message = format!("{message} ({request}, fingerprint {fingerprint:016x})");
        Err(Refusal::not_run(Reason::Suspect, message).retry_after(retry))
    };
    match suspect_policy(deaths, settings.limit) {
        SuspectPolicy::Normal => Ok(None),
        SuspectPolicy::Isolated => match shared.crashes.begin(fingerprint) {
            Some(running) => Ok(Some(running)),
            None => refuse("the same request is on trial here", RETRY),
        },
        SuspectPolicy::Reject => refuse("this request crashed backend servers", settings.release),
    }
}

/// Whether a failed try looks as if the engine died.
pub(crate) fn looks_dead(failure: &Failure) -> bool {
    let cut =
        matches!(failure.point, FailurePoint::Exchange | FailurePoint::Body | FailurePoint::Failed);
    cut && failure.point.verdict() == Verdict::MayHaveRun
}

/// Looks after an engine when the caller leaves: it may die of the request all
/// the same. Until [`Watch::over`] is called.
#[derive(Debug)]
pub(crate) struct Watch {
    shared: Arc<Shared>,
    risk: Option<Risk>,
}

impl Watch {
    /// Watches over what is at risk, if anything is.
    pub(crate) fn new(shared: &Arc<Shared>, risk: Option<Risk>) -> Watch {
        Watch { shared: Arc::clone(shared), risk }
    }

    /// The request has ended, or another watch takes over.
    pub(crate) fn over(&mut self) -> Option<Risk> {
        self.risk.take()
    }
}

impl Drop for Watch {
    fn drop(&mut self) {
        let (Some(risk), Ok(runtime)) = (self.risk.take(), Handle::try_current()) else {
            return;
        };
        let shared = Arc::clone(&self.shared);
        runtime.spawn(async move {
            for pause in LOOKS {
                sleep(pause).await;
                if note(&shared, &risk).await {
                    return;
                }
            }
        });
    }
}

/// Notes the death of the engine if it is one, and tells all routers before the
/// caller can send the request again. True when it died.
pub(crate) async fn note(shared: &Arc<Shared>, risk: &Risk) -> bool {
    if !died(shared, risk).await {
        return false;
    }
    // What died after the suspicion was lifted counts, whenever it was sent.
    let lift = shared.view.peek().state.lift(risk.crash.fingerprint);
    let now = shared.clock.now();
    let report = CrashReport { crash: Crash { lift, ..risk.crash }, at: now };
    if !shared.crashes.insert(report, now) {
        return true;
    }
    let subject = format!("{}", risk.address);
    let detail = format!("fingerprint {:016x}", risk.crash.fingerprint);
    shared.events.record(Code::ServerCrashed, Fields { subject: &subject, detail: &detail });
    let own = shared.once.me().router;
    let view = shared.view.load();
    let peers = view.routers.iter().filter(|it| it.id != own).filter_map(|it| it.control);
    join_all(peers.map(|it| tell(shared, it, &report))).await;
    true
}

/// Whether the engine is gone or another incarnation; a timeout proves nothing.
async fn died(shared: &Shared, risk: &Risk) -> bool {
    let url = format!("http://{}/load", risk.address);
    match shared.upstream.fresh.get(url).timeout(PROBE_TIMEOUT).send().await {
        Err(e) => !e.is_timeout(),
        Ok(reply) => {
            let known = risk.crash.incarnation;
            let report = reply.json::<LoadReport>().await;
            report.is_ok_and(|it| known != 0 && it.incarnation != known)
        }
    }
}

async fn tell(shared: &Shared, peer: SocketAddr, report: &CrashReport) {
    let row = report.to_wire(shared.clock.now());
    let request = shared
        .http
        .post(format!("http://{peer}/v1/crashes"))
        .header(TOKEN_HEADER, &shared.settings.token)
        .timeout(PROBE_TIMEOUT)
        .body(rmp_serde::to_vec(&row).unwrap_or_default());
    // Gossip brings the report to whoever does not answer.
    let _ = request.send().await;
}
