//! Measurements of open connections and streams of a complete router, against
//! stand-ins on loopback.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use peak_alloc::PeakAlloc;
use standins::engine::{EngineStandin, Options};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;

use crate::capacity::Sample;
use crate::capacity::probe::SampleFuture;
use crate::daemon::TRAFFIC_THREAD;
use crate::demo::{Fleet, FleetOptions};
use crate::metrics::thread_time;

/// Slots of the engine; more than any measurement opens.
const SLOTS: usize = 1_024;
/// Time for a token of streams that are only held open.
const SLOW_TOKEN: Duration = Duration::from_secs(2);
/// Time for a token of streams that flow.
const TOKEN: Duration = Duration::from_millis(1);
/// Tokens of a stream that is only held open.
const FEW_TOKENS: usize = 4;
/// Streams over which the tokens of `relay_tokens` are spread.
const STREAMS: usize = 16;
/// Time for heap of connections that are closed or set up to settle.
const SETTLE: Duration = Duration::from_millis(50);
/// End of the head of an answer.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Last bytes of a complete stream.
const STREAM_END: &[u8] = b"data: [DONE]\n\n";

/// One router before one engine, which writes a token every `decode`.
async fn fleet(decode: Duration) -> Option<Fleet> {
    let engine = Options { slots: SLOTS, decode, ..Options::default() };
    let options =
        FleetOptions { routers: 1, engines: 1, canaries: 0, engine, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.ok()?;
    fleet.publish_first_ticket().await.ok()?;
    Some(fleet)
}

/// A request for a stream as it stands on the wire; `id` is for engines.
fn chat_request(tokens: usize, id: usize) -> String {
    let message = r#"{"role":"user","content":"which reeds grow here"}"#;
    let body = format!(
        r#"{{"model":"assistant","messages":[{message}],"max_tokens":{tokens},"stream":true}}"#
    );
    format!(
        "POST /v1/chat/completions HTTP/1.1\r\nhost: capacity\r\n\
         filberttiller-organisation: dalisay\r\nfilberttiller-chat: chat-{id}\r\n\
         x-request-id: capacity-{id}\r\ncontent-type: application/json\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Sends `request` on a new connection and reads until `end` has come.
async fn open(addr: SocketAddr, request: &str, end: &[u8]) -> io::Result<TcpStream> {
    let mut socket = TcpStream::connect(addr).await?;
    socket.write_all(request.as_bytes()).await?;
    let mut received = Vec::new();
    let mut piece = [0; 4_096];
    while !received.windows(end.len()).any(|it| it == end) {
        let count = socket.read(&mut piece).await?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let overlap = received.len().saturating_sub(end.len());
        received.drain(..overlap);
        received.extend_from_slice(&piece[..count]);
    }
    Ok(socket)
}

/// Heap for each of `size` connections on which `request` was answered as far
/// as the head; those that fail leave a sample of 0.
async fn open_heap(addr: SocketAddr, size: usize, request: impl Fn(usize) -> String) -> Sample {
    let Ok(first) = open(addr, &request(size), HEAD_END).await else {
        return Sample::default();
    };
    let mut sockets = Vec::with_capacity(size);
    tokio::time::sleep(SETTLE).await;
    let before = PeakAlloc.current_usage();
    for i in 0..size {
        sockets.extend(open(addr, &request(i), HEAD_END).await);
    }
    tokio::time::sleep(SETTLE).await;
    let bytes = PeakAlloc.current_usage().saturating_sub(before) as f64;
    let complete = sockets.len() == size;
    drop((first, sockets));
    if complete { Sample { bytes, ..Sample::default() } } else { Sample::default() }
}

/// Connections of callers that wait for their next request.
pub(crate) fn open_connections(size: usize) -> SampleFuture {
    Box::pin(async move {
        let Some(fleet) = fleet(SLOW_TOKEN).await else {
            return Sample::default();
        };
        let request = |_| "GET /none HTTP/1.1\r\nhost: capacity\r\n\r\n".to_owned();
        open_heap(fleet.routers[0].address(), size, request).await
    })
}

/// Streams through a router, the stand-in of the engine included.
pub(crate) fn open_streams(size: usize) -> SampleFuture {
    Box::pin(async move {
        let Some(fleet) = fleet(SLOW_TOKEN).await else {
            return Sample::default();
        };
        open_heap(fleet.routers[0].address(), size, |i| chat_request(FEW_TOKENS, i)).await
    })
}

/// Streams straight from the stand-in of an engine, without router.
pub(crate) fn engine_streams(size: usize) -> SampleFuture {
    Box::pin(async move {
        let options = Options { slots: SLOTS, decode: SLOW_TOKEN, ..Options::default() };
        let loopback = FleetOptions::default().log;
        let Ok(engine) = EngineStandin::start(loopback, options).await else {
            return Sample::default();
        };
        open_heap(engine.addr(), size, |i| chat_request(FEW_TOKENS, i)).await
    })
}

/// Processor time of the traffic threads for tokens that arrive one by one.
pub(crate) fn relay_tokens(size: usize) -> SampleFuture {
    Box::pin(async move {
        let Some(fleet) = fleet(TOKEN).await else {
            return Sample::default();
        };
        let addr = fleet.routers[0].address();
        let before = thread_time(TRAFFIC_THREAD);
        let mut calls = JoinSet::new();
        for i in 0..STREAMS {
            let request = chat_request(size / STREAMS, i);
            calls.spawn(async move { open(addr, &request, STREAM_END).await.is_ok() });
        }
        if !calls.join_all().await.into_iter().all(|complete| complete) {
            return Sample::default();
        }
        let spent = thread_time(TRAFFIC_THREAD).saturating_sub(before);
        Sample { micros: spent.as_secs_f64() * 1e6, ..Sample::default() }
    })
}
