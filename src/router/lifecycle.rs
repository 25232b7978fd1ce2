//! Start, reload and graceful shutdown of a router.

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
use crate::intake::Listener;
use crate::relay::{Relay, Sender, serve_connections};
use crate::router::blame_store::store_blame;
use crate::router::exchange_loop::{exchange, find_routers};
use crate::router::origin_search::answer_queries;
use crate::router::origins::tell_origins;
use crate::router::reach_watch::watch_reach;
use crate::router::rules_watch::follow_rules;
use crate::router::servers_watch::follow_servers;
use crate::router::stream_records::serve_reads;
use crate::router::stream_writer::write_streams;
use crate::router::{Listeners, Router, RouterError, Store, endpoints};

/// How long new requests are accepted after the termination signal, as callers keep the
/// address for a while. Requests accepted later might not end before the kill.
const ACCEPT_TIME: Duration = Duration::from_millis(2_800);
/// How long before the kill the process ends on its own.
const KILL_MARGIN: Duration = Duration::from_millis(400);
/// Interval at which a drain checks whether all requests have ended.
const DRAIN_INTERVAL: Duration = Duration::from_millis(50);
/// Idle timeout of connections that are not from callers.
const INTERNAL_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Runs `router` until a termination signal arrives, then drains it. `reload` is called on
/// SIGHUP, when the settings may have changed.
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
    tokio::spawn(store_blame(Arc::clone(router)));
    tokio::spawn(tell_origins(Arc::clone(router)));
    tokio::spawn(serve_reads(Arc::clone(router)));
    tokio::spawn(write_streams(Arc::clone(router)));
    tokio::spawn(watch_reach(Arc::clone(router)));
    if let Some(queries) = router.origin_queries.lock().unwrap().take() {
        tokio::spawn(answer_queries(Arc::clone(router), queries));
    }
    let own = &router.settings;
    info!(router.logger, "started"; "event" => Code::Started.number(), "callers" => %own.callers,
        "ready" => %own.ready, "entry" => %own.entry, "metrics" => %own.metrics,
        "domain" => &own.domain, "version" => env!("CARGO_PKG_VERSION"));
}

fn serve<S: Store>(router: &Arc<Router<S>>, listeners: Listeners) {
    let internal_idle = || INTERNAL_IDLE_TIMEOUT;
    let internal = |listener| {
        let mut context = router.connection_context(listener);
        // A drain waits only for requests of callers, and closes only their port.
        context.active_requests = Arc::default();
        context.closed = watch::Sender::new(false).subscribe();
        context
    };
    let it = Arc::clone(&router.relay);
    let closed = router.closed.subscribe();
    let handler = move |request| Arc::clone(&it).handle(request, Sender::Caller, *closed.borrow());
    let it = Arc::clone(&router.relay);
    let idle = move || caller_idle_timeout(&it);
    let context = router.connection_context(Listener::Callers);
    tokio::spawn(serve_connections(listeners.callers, context, handler, idle));
    let it = Arc::clone(router);
    let handler = move |request| ready(endpoints::readiness(&it, &request));
    tokio::spawn(serve_connections(
        listeners.ready,
        internal(Listener::Ready),
        handler,
        internal_idle,
    ));
    let it = Arc::clone(router);
    let handler = move |request| ready(endpoints::entry_addresses(&it, &request));
    tokio::spawn(serve_connections(
        listeners.entry,
        internal(Listener::Entry),
        handler,
        internal_idle,
    ));
    let it = Arc::clone(router);
    let handler = move |request| {
        let it = Arc::clone(&it);
        async move {
            match endpoints::is_forwarded(&request) {
                true => endpoints::relay_forwarded(&it, request).await,
                false => endpoints::receive_message(&it, request).await,
            }
        }
    };
    tokio::spawn(serve_connections(
        listeners.peers,
        internal(Listener::Peers),
        handler,
        internal_idle,
    ));
    let it = Arc::clone(router);
    let handler = move |_| ready(endpoints::metrics(&it));
    tokio::spawn(serve_connections(
        listeners.metrics,
        internal(Listener::Metrics),
        handler,
        internal_idle,
    ));
}

fn caller_idle_timeout(relay: &Relay) -> Duration {
    relay.rules.load().map_or(INTERNAL_IDLE_TIMEOUT, |it| it.limits.idle)
}

/// Drains `router`: returns once all requests have their responses, or shortly before
/// the kill.
pub async fn drain<S: Store>(router: &Router<S>) {
    let clock = router.relay.clock();
    let began = clock.boot();
    router.relay.leaving.store(true, Ordering::Relaxed);
    router.relay.room.waiters.wake_all();
    router.exchange_now.notify_one();
    let in_flight = || router.in_flight.load(Ordering::Relaxed);
    info!(router.logger, "stopping";
        "event" => Code::ShutdownBegun.number(), "in_flight" => in_flight());
    let time_limit = router.settings.grace.saturating_sub(KILL_MARGIN);
    loop {
        let elapsed = clock.boot().saturating_sub(began);
        if elapsed >= ACCEPT_TIME {
            router.closed.send_replace(true);
        }
        let is_drained = elapsed >= ACCEPT_TIME + DRAIN_INTERVAL && in_flight() == 0;
        if is_drained || elapsed >= time_limit {
            break;
        }
        sleep(DRAIN_INTERVAL).await;
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
