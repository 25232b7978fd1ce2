//! Start, reload and shutdown of a router.

use std::future::ready;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use error_stack::{Report, ResultExt};
use slog::{info, warn};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::events::Code;
use crate::relay::{Relay, serve_connections};
use crate::router::exchange_loop::{exchange, find_routers};
use crate::router::rules_watch::follow_rules;
use crate::router::servers_watch::follow_servers;
use crate::router::{Listeners, Router, RouterError, Store, endpoints};

/// Time after the signal to stop in which new requests are taken: callers keep the
/// address for a while. What is taken later might not end before the kill.
const TAKE_TIME: Duration = Duration::from_millis(2_800);
/// Time before the kill at which the process ends on its own.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Pause between two looks whether all requests have ended.
const DRAIN_PAUSE: Duration = Duration::from_millis(50);
/// How long other connections than those of callers may idle.
const OTHERS_IDLE: Duration = Duration::from_secs(15);

/// Runs `router` until it is told to stop. `reload` is called when the settings
/// may have changed.
///
/// # Errors
/// Fails when an address cannot be bound or signals cannot be handled.
pub async fn run<S: Store>(
    router: Arc<Router<S>>,
    listeners: Listeners,
    reload: impl Fn(&Router<S>),
) -> Result<(), Report<RouterError>> {
    let mut term = listen_signal(SignalKind::terminate())?;
    let mut interrupt = listen_signal(SignalKind::interrupt())?;
    let mut hangup = listen_signal(SignalKind::hangup())?;
    start(&router, listeners);
    loop {
        tokio::select! {
            _ = term.recv() => break,
            _ = interrupt.recv() => break,
            _ = hangup.recv() => reload(&router),
        }
    }
    drain(&router).await;
    Ok(())
}

/// Starts all tasks of `router`; they end with the runtime.
pub fn start<S: Store>(router: &Arc<Router<S>>, listeners: Listeners) {
    serve(router, listeners);
    tokio::spawn(follow_rules(Arc::clone(router)));
    tokio::spawn(follow_servers(Arc::clone(router)));
    tokio::spawn(find_routers(Arc::clone(router)));
    tokio::spawn(exchange(Arc::clone(router)));
    let own = &router.settings;
    info!(router.logger, "started"; "event" => Code::Started.number(), "callers" => %own.callers,
        "ready" => %own.ready, "entry" => %own.entry, "metrics" => %own.metrics,
        "domain" => &own.domain, "version" => env!("CARGO_PKG_VERSION"));
}

fn serve<S: Store>(router: &Arc<Router<S>>, listeners: Listeners) {
    let others = || OTHERS_IDLE;
    let other = || {
        let mut front = router.connection_context();
        // Only callers' requests are waited for at the end, and only their port closes.
        front.active_requests = Arc::default();
        front.closed = watch::Sender::new(false).subscribe();
        front
    };
    let it = Arc::clone(&router.relay);
    let closed = router.closed.subscribe();
    let relay = move |request| Arc::clone(&it).handle(request, *closed.borrow());
    let it = Arc::clone(&router.relay);
    let idle = move || idle(&it);
    tokio::spawn(serve_connections(listeners.callers, router.connection_context(), relay, idle));
    let it = Arc::clone(router);
    let asked = move |request| ready(endpoints::readiness(&it, &request));
    tokio::spawn(serve_connections(listeners.ready, other(), asked, others));
    let it = Arc::clone(router);
    let asked = move |request| ready(endpoints::entry_addresses(&it, &request));
    tokio::spawn(serve_connections(listeners.entry, other(), asked, others));
    let it = Arc::clone(router);
    let told = move |request| {
        let it = Arc::clone(&it);
        async move { endpoints::receive_message(&it, request).await }
    };
    tokio::spawn(serve_connections(listeners.peers, other(), told, others));
    let it = Arc::clone(router);
    let asked = move |_| ready(endpoints::metrics(&it));
    tokio::spawn(serve_connections(listeners.metrics, other(), asked, others));
}

fn idle(relay: &Relay) -> Duration {
    relay.rules.load().map_or(OTHERS_IDLE, |it| it.limits.idle)
}

/// Ends once all requests have their answers, or shortly before the kill.
pub async fn drain<S: Store>(router: &Router<S>) {
    let clock = router.relay.clock();
    let began = clock.boot();
    router.relay.leaving.store(true, Ordering::Relaxed);
    router.exchange_now.notify_one();
    let in_flight = || router.in_flight.load(Ordering::Relaxed);
    info!(router.logger, "stopping";
        "event" => Code::ShutdownBegun.number(), "in_flight" => in_flight());
    let last = router.settings.grace.saturating_sub(KILL_MARGIN);
    loop {
        let passed = clock.boot().saturating_sub(began);
        if passed >= TAKE_TIME {
            router.closed.send_replace(true);
        }
        let empty = passed >= TAKE_TIME + DRAIN_PAUSE && in_flight() == 0;
        if empty || passed >= last {
            break;
        }
        sleep(DRAIN_PAUSE).await;
    }
    match in_flight() {
        0 => info!(router.logger, "stopped"; "event" => Code::ShutdownDone.number()),
        cut => {
            warn!(router.logger, "stopped with requests in flight";
                "event" => Code::ShutdownCut.number(), "cut" => cut)
        }
    }
}

fn listen_signal(kind: SignalKind) -> Result<Signal, Report<RouterError>> {
    signal(kind).change_context(RouterError::SetUp)
}
