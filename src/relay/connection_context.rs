//! Connections of callers.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use slog::{Logger, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, sleep_until};

use crate::clock::SharedClock;
use crate::events::Code;
use crate::relay::RelayBody;
use crate::relay::active_request::{ActiveRequest, Activity};
use crate::relay::connection::prepare;

/// Pause after a connection could not be accepted, most likely for lack of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for a connection without a request to close in an orderly way.
const CLOSE_TIME: Duration = Duration::from_secs(2);
/// Most bytes of a head that are buffered.
const HEAD_BUFFER: usize = 64 * 1024;

/// What all connections of one listener share.
#[derive(Debug, Clone)]
pub struct ConnectionContext {
    /// For what cannot be told to a caller.
    pub logger: Logger,
    /// The clock.
    pub clock: SharedClock,
    /// Requests whose answers are not complete, or connections just begun.
    pub active_requests: Arc<AtomicU32>,
    /// True once no new request is taken: the port and idle connections close.
    pub closed: watch::Receiver<bool>,
}

/// Accepts connections until it is closed and serves requests by `handle`. Connections
/// without a request for the time that `idle` tells are closed.
pub async fn serve_connections<H, F, I>(
    listener: TcpListener,
    mut front: ConnectionContext,
    handle: H,
    idle: I,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
    I: Fn() -> Duration + Clone + Send + Sync + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = closing(&mut front.closed) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(serve(stream, front.clone(), handle.clone(), idle.clone()));
            }
            Err(e) => {
                warn!(front.logger, "a connection was not accepted";
                    "event" => Code::AcceptFailed.number(), "error" => %e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Ends when no new request is taken any more.
async fn closing(closed: &mut watch::Receiver<bool>) {
    if closed.wait_for(|it| *it).await.is_err() {
        // Nobody is left to close it.
        std::future::pending().await
    }
}

async fn serve<H, F, I>(stream: TcpStream, front: ConnectionContext, handle: H, idle: I)
where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
    I: Fn() -> Duration,
{
    prepare(&stream);
    let begun = front.clock.now();
    let activity = Arc::new(Activity::new(begun));
    let service = service_fn(|request| {
        let busy = ActiveRequest::begin(&front.clock, &front.active_requests, &activity);
        let answer = handle(request);
        async move {
            let response = answer.await;
            Ok::<_, Infallible>(response.map(|body| busy.carry(body)))
        }
    });
    let connection = Builder::new()
        .header_read_timeout(None)
        .max_buf_size(HEAD_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closed = front.closed.clone();
    let mut ending = false;
    loop {
        let wake = *activity.last.lock().unwrap() + idle();
        tokio::select! {
            // How it ended was told to the request under way, if there was one.
            _ = connection.as_mut() => return,
            () = closing(&mut closed), if !ending => {
                connection.as_mut().graceful_shutdown();
                ending = true;
            }
            // What is left then is a head that never came to its end.
            () = sleep(CLOSE_TIME), if ending && activity.is_quiet() => return,
            () = sleep_until(wake.into()), if !ending => {
                let now = front.clock.now();
                if !activity.is_quiet() {
                    *activity.last.lock().unwrap() = now;
                } else if now >= *activity.last.lock().unwrap() + idle() {
                    connection.as_mut().graceful_shutdown();
                    ending = true;
                }
            }
        }
    }
}
