//! Answers that a caller reads slowly, on a connection that closes.

use std::convert::Infallible;
use std::future::ready;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use filberttiller::clock::{SharedClock, SystemClock};
use filberttiller::events::discard_logger;
use filberttiller::intake::{Intake, IntakeLimits, Listener};
use filberttiller::relay::{ConnectionContext, full_body, serve_connections};
use hyper::Response;
use prometheus::Registry;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// More than the kernel buffers on both sides.
const ANSWER_BYTES: usize = 32 * 1024 * 1024;
/// Receive buffer of the caller.
const RECEIVE_BYTES: u32 = 64 * 1024;
/// Time in which the caller reads nothing: longer than a dead peer takes to be noticed.
const READING_PAUSE: Duration = Duration::from_millis(3_500);
/// Longer than a connection without an active request has to close.
const CLOSE_TIME: Duration = Duration::from_millis(2_500);

/// Serves a large answer; returns its address and the number of active requests.
async fn serve(closed: &watch::Sender<bool>) -> (SocketAddr, Arc<AtomicU32>) {
    serve_bytes(closed, ANSWER_BYTES).await
}

/// The same for an answer of `bytes`.
async fn serve_bytes(closed: &watch::Sender<bool>, bytes: usize) -> (SocketAddr, Arc<AtomicU32>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let active = Arc::new(AtomicU32::new(0));
    let clock: SharedClock = Arc::new(SystemClock);
    let limits = IntakeLimits::default();
    let registry = Registry::new();
    let intake = Intake::new(limits, Arc::clone(&clock), discard_logger(), &registry).unwrap();
    let context = ConnectionContext {
        logger: discard_logger(),
        clock,
        active_requests: Arc::clone(&active),
        forwarded_requests: Arc::clone(&active),
        closed: closed.subscribe(),
        intake: Arc::new(intake),
        listener: Listener::Callers,
    };
    let body = Bytes::from(vec![b'x'; bytes]);
    let handler = move |_| ready(Response::new(full_body(body.clone())));
    let idle = || Duration::from_secs(15);
    tokio::spawn(serve_connections(listener, context, handler, idle));
    (address, active)
}

/// Sends a request and reads nothing of its answer for a while.
async fn ask(address: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
    let mut caller = socket.connect(address).await.unwrap();
    caller.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").await.unwrap();
    sleep(Duration::from_millis(300)).await;
    caller
}

/// Reads a small part of an answer; returns the number of bytes.
async fn read_slowly(caller: &mut TcpStream, time: Duration) -> usize {
    let mut received = 0;
    let mut part = vec![0; RECEIVE_BYTES as usize];
    let until = Instant::now() + time;
    while Instant::now() < until {
        received += caller.read(&mut part).await.unwrap();
        sleep(Duration::from_millis(20)).await;
    }
    received
}

async fn until_none(active: &AtomicU32) -> Result<(), Infallible> {
    while active.load(Ordering::Relaxed) > 0 {
        sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Guards against answers that are cut as a process stops, since the HTTP library has taken them
/// over but not written them (LOST).
#[tokio::test]
async fn request_active_until_answer_is_written() {
    let closed = watch::Sender::new(false);
    let (address, active) = serve(&closed).await;
    let mut caller = ask(address).await;
    assert!(active.load(Ordering::Relaxed) > 0, "the answer is not written");
    closed.send_replace(true);
    let mut received = read_slowly(&mut caller, CLOSE_TIME).await;
    assert!(active.load(Ordering::Relaxed) > 0, "the answer is still not written");
    let mut answer = Vec::new();
    received += caller.read_to_end(&mut answer).await.unwrap();
    assert!(received > ANSWER_BYTES, "{received} bytes");
    timeout(Duration::from_secs(5), until_none(&active)).await.unwrap().unwrap();
}

/// Guards against a count that never ends when the caller leaves.
#[tokio::test]
async fn request_ends_as_caller_leaves() {
    let closed = watch::Sender::new(false);
    let (address, active) = serve(&closed).await;
    drop(ask(address).await);
    timeout(Duration::from_secs(5), until_none(&active)).await.unwrap().unwrap();
}

/// Guards against answers that break off as the caller reads nothing for longer than a dead peer
/// takes to be noticed: those that the kernel holds whole, and those that it does not (LOST).
#[rstest]
#[case::held_by_kernel(200 * 1024)]
#[case::larger_than_buffers(ANSWER_BYTES)]
#[tokio::test]
async fn unread_answer_complete_after_pause(#[case] bytes: usize) {
    let closed = watch::Sender::new(false);
    let (address, _) = serve_bytes(&closed, bytes).await;
    let mut caller = ask(address).await;
    sleep(READING_PAUSE).await;
    let mut received = 0;
    let mut part = vec![0; RECEIVE_BYTES as usize];
    while received < bytes {
        let count = timeout(READING_PAUSE, caller.read(&mut part)).await.unwrap().unwrap();
        assert!(count > 0, "{received} bytes");
        received += count;
    }
}

/// The same for a connection that the router has closed, as it stops or the caller was idle.
#[tokio::test]
async fn unread_answer_complete_after_close() {
    let closed = watch::Sender::new(false);
    let bytes = 200 * 1024;
    let (address, active) = serve_bytes(&closed, bytes).await;
    let mut caller = ask(address).await;
    closed.send_replace(true);
    timeout(Duration::from_secs(5), until_none(&active)).await.unwrap().unwrap();
    sleep(READING_PAUSE).await;
    let mut answer = Vec::new();
    caller.read_to_end(&mut answer).await.unwrap();
    assert!(answer.len() > bytes, "{} bytes", answer.len());
}
