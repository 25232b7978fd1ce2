//! The control thread: controllers and the control side's HTTP calls.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use error_stack::{Report, ResultExt};
use tokio::net::TcpListener;
use tokio::runtime::Builder;
use tokio::sync::watch;
use tokio::time::sleep;
use xtra::{Address, Mailbox};

use crate::backend::{ControlHttp, EngineClient, ListClient, LogClient};
use crate::controllers::{Leave, Publisher, tail_tickets, watch_list, watch_loads};
use crate::daemon::control_api::control_calls;
use crate::daemon::daemon::{grace, listen};
use crate::daemon::{DaemonError, Stop, serve};
use crate::filters::Shared;

/// A started control thread.
#[derive(Debug)]
pub(crate) struct ControlThread {
    /// Address of the control side.
    pub(crate) address: SocketAddr,
    /// The thread.
    pub(crate) thread: JoinHandle<()>,
    /// Tells traffic to stop, a while after the instance began to leave.
    pub(crate) drained: watch::Receiver<Stop>,
}

impl ControlThread {
    /// Starts the thread of an instance.
    pub(crate) fn start(
        shared: &Arc<Shared>,
        stop: watch::Receiver<Stop>,
    ) -> Result<ControlThread, Report<DaemonError>> {
        let listener = listen(shared.settings.control)?;
        let address = listener.local_addr().change_context(DaemonError::SetUp)?;
        let runtime = Builder::new_current_thread()
            .enable_all()
            .build()
            .change_context(DaemonError::SetUp)?;
        let (tell, drained) = watch::channel(Stop::Run);
        let shared = Arc::clone(shared);
        let body = move || runtime.block_on(run(&shared, listener, stop, tell));
        let thread = thread::Builder::new()
            .name("control".to_owned())
            .spawn(body)
            .change_context(DaemonError::SetUp)?;
        Ok(ControlThread { address, thread, drained })
    }
}

/// Runs all controllers until the instance is cut.
async fn run(
    shared: &Arc<Shared>,
    listener: std::net::TcpListener,
    mut stop: watch::Receiver<Stop>,
    tell: watch::Sender<Stop>,
) {
    let publisher = start_controllers(shared);
    if let Ok(listener) = TcpListener::from_std(listener) {
        let shared = Arc::clone(shared);
        let cut = stop.clone();
        tokio::spawn(async move {
            let limits = shared.settings.limits.clone();
            serve(listener, control_calls(&shared), &limits, only_cut(cut)).await;
        });
    }
    loop {
        let now = *stop.borrow_and_update();
        match now {
            Stop::Run => {}
            Stop::Drain => {
                let _ = publisher.send(Leave).await;
                let tell = tell.clone();
                let time = grace(&shared.settings);
                tokio::spawn(async move {
                    sleep(time).await;
                    tell.send_if_modified(|it| std::mem::replace(it, Stop::Drain) == Stop::Run);
                });
            }
            Stop::Cut => {
                tell.send_replace(Stop::Cut);
                return;
            }
        }
        if stop.changed().await.is_err() {
            tell.send_replace(Stop::Cut);
            return;
        }
    }
}

/// A stop signal that passes only the order to end at once, so that the control
/// side answers until the end.
fn only_cut(mut stop: watch::Receiver<Stop>) -> watch::Receiver<Stop> {
    let (tell, told) = watch::channel(Stop::Run);
    tokio::spawn(async move {
        let _ = stop.wait_for(|it| *it == Stop::Cut).await;
        tell.send_replace(Stop::Cut);
    });
    told
}

/// Starts the publisher and all that feed it.
fn start_controllers(shared: &Arc<Shared>) -> Address<Publisher> {
    let settings = &shared.settings;
    let upkeep = &settings.upkeep;
    let events = &shared.events;
    let http = ControlHttp::new(shared.http.clone(), Arc::clone(&shared.meter));
    let http = http.with_events(Arc::clone(events));
    let actor = Publisher::new(&settings.name, Arc::clone(&shared.view), Arc::clone(events));
    let publisher = xtra::spawn_tokio(actor, Mailbox::unbounded());
    let log = LogClient::new(http.clone(), settings.log);
    tokio::spawn(tail_tickets(log, publisher.clone(), Arc::clone(events), upkeep.clone()));
    let list = ListClient::new(http.clone(), settings.list);
    tokio::spawn(watch_list(list, publisher.clone(), Arc::clone(events), upkeep.clone()));
    let engines = EngineClient::new(http);
    tokio::spawn(watch_loads(engines, publisher.clone(), upkeep.clone()));
    publisher
}
