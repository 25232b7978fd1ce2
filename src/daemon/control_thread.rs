//! The control thread: runs the controllers and the HTTP API of the control interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::UNIX_EPOCH;

use error_stack::{Report, ResultExt};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::{Notify, watch};
use tokio::time::sleep;
use xtra::{Address, Mailbox};

use crate::backend::{ControlHttp, EngineClient, ListClient, LogClient, RouterClient};
use crate::controllers::{
    BeginLeaving, ListWatch, OrderDispatcher, OrderParts, Publisher, PublisherParts, TicketTail,
    exchange_gossip, watch_loads, watch_marks,
};
use crate::daemon::control_api::control_calls;
use crate::daemon::daemon::{drain_grace, listen};
use crate::daemon::once_api::start_claims;
use crate::daemon::{DaemonError, Stop, serve};
use crate::filters::Shared;
use crate::fleet::Purpose;
use crate::wire::{MemberStatus, WireMember};

/// Name of the control thread.
pub(crate) const CONTROL_THREAD: &str = "control";

/// A started control thread.
#[derive(Debug)]
pub(crate) struct ControlThread {
    /// Address of the control interface.
    pub(crate) address: SocketAddr,
    /// The thread.
    pub(crate) thread: JoinHandle<()>,
    /// Stop signal for the traffic threads; it follows [`drain_grace`] after the instance
    /// began to leave.
    pub(crate) drained: watch::Receiver<Stop>,
}

impl ControlThread {
    /// Starts the control thread of an instance.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        callers: SocketAddr,
        stop: watch::Receiver<Stop>,
    ) -> Result<ControlThread, Report<DaemonError>> {
        let listener = listen(shared.settings.control)?;
        let address = listener.local_addr().change_context(DaemonError::SetUp)?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(DaemonError::SetUp)?;
        let (drain, drained) = watch::channel(Stop::Run);
        let shared = Arc::clone(shared);
        let own = own_member(&shared, callers, address);
        let body = move || runtime.block_on(run(&shared, own, listener, stop, drain));
        let thread = thread::Builder::new()
            .name(CONTROL_THREAD.to_owned())
            .spawn(body)
            .change_context(DaemonError::SetUp)?;
        Ok(ControlThread { address, thread, drained })
    }
}

/// Runs all controllers until the instance stops with [`Stop::Cut`].
async fn run(
    shared: &Arc<Shared>,
    own: WireMember,
    listener: std::net::TcpListener,
    mut stop: watch::Receiver<Stop>,
    drain: watch::Sender<Stop>,
) {
    let publisher = start_controllers(shared, own);
    if let Ok(listener) = TcpListener::from_std(listener) {
        let shared = Arc::clone(shared);
        let stop = stop.clone();
        let publisher = publisher.clone();
        tokio::spawn(async move {
            let limits = shared.settings.limits.clone();
            serve(listener, control_calls(&shared, &publisher), &limits, cut_signal(stop)).await;
        });
    }
    loop {
        let now = *stop.borrow_and_update();
        match now {
            Stop::Run => {}
            Stop::Drain => {
                let _ = publisher.send(BeginLeaving).await;
                let drain = drain.clone();
                let time = drain_grace(&shared.settings);
                tokio::spawn(async move {
                    sleep(time).await;
                    drain.send_if_modified(|it| std::mem::replace(it, Stop::Drain) == Stop::Run);
                });
            }
            Stop::Cut => {
                drain.send_replace(Stop::Cut);
                return;
            }
        }
        if stop.changed().await.is_err() {
            drain.send_replace(Stop::Cut);
            return;
        }
    }
}

/// A stop signal that forwards only [`Stop::Cut`], so that the control interface still
/// responds during a drain.
fn cut_signal(mut stop: watch::Receiver<Stop>) -> watch::Receiver<Stop> {
    let (sender, cut) = watch::channel(Stop::Run);
    tokio::spawn(async move {
        let _ = stop.wait_for(|it| *it == Stop::Cut).await;
        sender.send_replace(Stop::Cut);
    });
    cut
}

/// The membership entry of this router, with the time of its start as incarnation.
fn own_member(shared: &Shared, callers: SocketAddr, control: SocketAddr) -> WireMember {
    let wall = shared.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
    WireMember {
        name: shared.settings.name.clone(),
        incarnation: wall.as_micros() as u64,
        status: MemberStatus::Alive,
        address: callers,
        control,
        domain: shared.settings.domain.clone(),
    }
}

/// Starts the publisher and the controllers that send to it.
fn start_controllers(shared: &Arc<Shared>, own: WireMember) -> Address<Publisher> {
    let settings = &shared.settings;
    let state_sync = &settings.state_sync;
    let events = &shared.events;
    let http = ControlHttp::new(shared.http.clone(), Arc::clone(&shared.meter));
    let http = http.with_events(Arc::clone(events));
    let client = |purpose| http.with_budget(&shared.budget, purpose);
    let changed = Arc::new(Notify::new());
    let parts = PublisherParts {
        own,
        cell: Arc::clone(&shared.view),
        events: Arc::clone(events),
        clock: Arc::clone(&shared.clock),
        marks: Arc::clone(&shared.marks),
        crashes: Arc::clone(&shared.crashes),
        budget: Arc::clone(&shared.budget),
        settings: state_sync.clone(),
        seeds: settings.seeds.clone(),
    };
    let actor = Publisher::new(parts, Arc::clone(&changed));
    let publisher = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let log = LogClient::new(client(Purpose::Log), settings.log);
    let tail = TicketTail::new(log, publisher.clone(), Arc::clone(events), state_sync.clone());
    tokio::spawn(tail.run());
    start_claims(shared, LogClient::new(client(Purpose::Claims), settings.log));
    let list = ListClient::new(client(Purpose::List), settings.list);
    let watch = ListWatch {
        list,
        publisher: publisher.clone(),
        events: Arc::clone(events),
        view: Arc::clone(&shared.view),
        clock: Arc::clone(&shared.clock),
        name: settings.name.clone(),
        every: state_sync.list_every,
    };
    tokio::spawn(watch.run());
    let engines = EngineClient::new(client(Purpose::Load));
    tokio::spawn(watch_loads(engines.clone(), publisher.clone(), state_sync.clone()));
    let orders = OrderParts {
        router: settings.name.clone(),
        log: LogClient::new(client(Purpose::Log), settings.log),
        engines,
        publisher: publisher.clone(),
        events: Arc::clone(events),
        clock: Arc::clone(&shared.clock),
        settings: settings.orders.clone(),
        sent: shared.counters.orders.clone(),
        refused: shared.counters.refused_orders.clone(),
    };
    tokio::spawn(OrderDispatcher::new(orders).run());
    let routers = RouterClient::new(client(Purpose::Gossip), &settings.token);
    tokio::spawn(watch_marks(Arc::clone(&shared.marks), publisher.clone()));
    tokio::spawn(exchange_gossip(routers, publisher.clone(), changed, state_sync.gossip_every));
    publisher
}
