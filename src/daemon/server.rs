//! HTTP server: accept loop with connection limits and graceful shutdown.

use std::convert::Infallible;
use std::error::Error;
use std::time::Duration;

use hyper::body::{Body, Incoming};
use hyper::server::conn::http1;
use hyper::service::Service;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use hyper_util::service::TowerToHyperService;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::sleep;
use warp::{Filter, Reply};

use crate::daemon::open_connections::OpenConnections;
use crate::daemon::write_limit::WriteLimit;
use crate::daemon::{Stop, Stopped};
use crate::settings::Limits;

/// Pause after a failed accept, so that the loop does not spin when file descriptors run
/// out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves `routes` until the stop signal; a drain lets requests in flight finish.
pub async fn serve<F>(
    listener: TcpListener,
    routes: F,
    limits: &Limits,
    mut stop: watch::Receiver<Stop>,
) -> Stopped
where
    F: Filter<Error = Infallible> + Clone + Send + Sync + 'static,
    F::Extract: Reply,
{
    let service = TowerToHyperService::new(warp::service(routes));
    let mut http = http1::Builder::new();
    http.timer(TokioTimer::new())
        .header_read_timeout(limits.receive)
        .max_buf_size(limits.head.as_u64() as usize);
    let open = OpenConnections::new(limits);
    let mut connections = JoinSet::new();
    while *stop.borrow() == Stop::Run {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, peer)) => {
                    let Some(counted) = open.try_open(peer.ip()) else {
                        continue;
                    };
                    let _ = stream.set_nodelay(true);
                    let stream = WriteLimit::new(stream, limits.send);
                    let served =
                        serve_connection(stream, http.clone(), service.clone(), stop.clone());
                    connections.spawn(async move {
                        served.await;
                        drop(counted);
                    });
                }
                Err(_) => sleep(ACCEPT_PAUSE).await,
            },
            Some(_) = connections.join_next() => {}
            changed = stop.changed() => if changed.is_err() { break },
        }
    }
    drop(listener);
    tokio::select! {
        () = async { while connections.join_next().await.is_some() {} } => {}
        () = wait_for_cut(stop) => {}
    }
    Stopped { cut: open.count() }
}

/// Serves one connection; a drain ends it after the request in flight.
async fn serve_connection<S, B>(
    stream: WriteLimit,
    http: http1::Builder,
    service: S,
    mut stop: watch::Receiver<Stop>,
) where
    S: Service<Request<Incoming>, Response = Response<B>>,
    S::Error: Into<Box<dyn Error + Send + Sync>>,
    B: Body + 'static,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
{
    let mut conn = std::pin::pin!(http.serve_connection(TokioIo::new(stream), service));
    tokio::select! {
        _ = conn.as_mut() => return,
        _ = stop.wait_for(|it| *it != Stop::Run) => {}
    }
    conn.as_mut().graceful_shutdown();
    let _ = conn.await;
}

/// Waits for [`Stop::Cut`]; forever when the signal's sender is dropped.
async fn wait_for_cut(mut stop: watch::Receiver<Stop>) {
    if stop.wait_for(|it| *it == Stop::Cut).await.is_err() {
        std::future::pending().await
    }
}
