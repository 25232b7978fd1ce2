//! Accepts and serves the connections of callers.

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
use tokio::sync::{Semaphore, watch};
use tokio::time::{sleep, sleep_until};

use crate::clock::SharedClock;
use crate::events::Code;
use crate::intake::{Intake, Listener, OpenClient};
use crate::relay::active_request::{ActiveRequest, Activity};
use crate::relay::tracked_stream::TrackedStream;
use crate::relay::watched_stream::WatchedStream;
use crate::relay::{FORWARDED, RelayBody};

/// Pause after accepting a connection failed, most likely for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Time for a connection without an active request to close gracefully.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit on the accepted connections that wait for room, on one listener.
const MAX_WAITING: usize = 16;
/// Limit on the buffered bytes of a request head.
const MAX_HEAD_BUFFER_BYTES: usize = 64 * 1024;

/// State shared by all connections of one listener.
#[derive(Debug, Clone)]
pub struct ConnectionContext {
    /// For errors that cannot be reported to a caller.
    pub logger: Logger,
    /// The clock.
    pub clock: SharedClock,
    /// Number of requests whose answers are not complete, and of connections with answers that are
    /// not written.
    pub active_requests: Arc<AtomicU32>,
    /// The same for requests that another router sent on.
    pub forwarded_requests: Arc<AtomicU32>,
    /// True once no new request is accepted: the port and idle connections close.
    pub closed: watch::Receiver<bool>,
    /// Limits the connections, and what is held for them.
    pub intake: Arc<Intake>,
    /// The listener.
    pub listener: Listener,
}

/// Accepts connections until `closed` is set and serves their requests with `handle`.
/// Connections without a request for the time returned by `idle` are closed.
pub async fn serve_connections<H, F, I>(
    listener: TcpListener,
    mut context: ConnectionContext,
    handle: H,
    idle: I,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
    I: Fn() -> Duration + Clone + Send + Sync + 'static,
{
    let waiting = Arc::new(Semaphore::new(MAX_WAITING));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_until_closed(&mut context.closed) => return,
        };
        match accepted {
            Ok((stream, address)) => {
                let (handle, idle) = (handle.clone(), idle.clone());
                match context.intake.try_open(context.listener, address.ip()) {
                    Some(client) => {
                        tokio::spawn(serve(stream, client, context.clone(), handle, idle));
                    }
                    // One client without room must not hold up the others.
                    None => match Arc::clone(&waiting).try_acquire_owned() {
                        Ok(permit) => {
                            let address = address.ip();
                            let context = context.clone();
                            tokio::spawn(async move {
                                // The intake has noted why it takes no more connections.
                                let open = context.intake.open(context.listener, address).await;
                                drop(permit);
                                if let Some(client) = open {
                                    serve(stream, client, context, handle, idle).await;
                                }
                            });
                        }
                        Err(_) => context.intake.note_refused(),
                    },
                }
            }
            Err(e) => {
                warn!(context.logger, "a connection was not accepted";
                    "event" => Code::AcceptFailed.number(), "error" => %e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Waits until no new request is accepted any more.
async fn wait_until_closed(closed: &mut watch::Receiver<bool>) {
    if closed.wait_for(|it| *it).await.is_err() {
        // The sender is gone, so `closed` can no longer be set.
        std::future::pending().await
    }
}

/// Waits until no new request is accepted any more, and all answers of a connection are written.
async fn until_closable(closed: &mut watch::Receiver<bool>, activity: &Activity) {
    wait_until_closed(closed).await;
    activity.until_written().await;
}

async fn serve<H, F, I>(
    stream: TcpStream,
    open: OpenClient,
    context: ConnectionContext,
    handle: H,
    idle: I,
) where
    H: Fn(Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<RelayBody>> + Send + 'static,
    I: Fn() -> Duration,
{
    let stream = WatchedStream::new(stream);
    let accepted = context.clock.now();
    let client = Arc::clone(open.client());
    let activity = Arc::new(Activity::new(Arc::clone(&client), accepted));
    let stream = TrackedStream::new(stream, &context.clock, &context.active_requests, &activity);
    let service = service_fn(|mut request: Request<Incoming>| {
        request.extensions_mut().insert(Arc::clone(&client));
        let total = match request.headers().contains_key(FORWARDED) {
            true => &context.forwarded_requests,
            false => &context.active_requests,
        };
        let active = ActiveRequest::begin(&context.clock, total, &activity);
        let answer = handle(request);
        async move {
            let response = answer.await;
            Ok::<_, Infallible>(response.map(|body| active.track(body)))
        }
    });
    let connection = Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BUFFER_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let mut closed = context.closed.clone();
    let mut is_ending = false;
    loop {
        let wake = *activity.last_active.lock().unwrap() + idle();
        tokio::select! {
            // The request in progress gets the error, if there is one.
            _ = connection.as_mut() => return,
            () = client.until_closed() => return,
            // A shutdown drops answers that the HTTP library has taken over and not written.
            () = until_closable(&mut closed, &activity), if !is_ending => {
                connection.as_mut().graceful_shutdown();
                is_ending = true;
            }
            // What remains open then is a request head that was never completed.
            () = sleep(CLOSE_TIMEOUT), if is_ending && activity.is_idle() => return,
            () = sleep_until(wake.into()), if !is_ending => {
                let now = context.clock.now();
                if !activity.is_idle() {
                    *activity.last_active.lock().unwrap() = now;
                } else if now >= *activity.last_active.lock().unwrap() + idle() {
                    connection.as_mut().graceful_shutdown();
                    is_ending = true;
                }
            }
        }
    }
}
