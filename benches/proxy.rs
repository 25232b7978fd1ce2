//! Load on one router on loopback: added latency, requests a second and memory for
//! each open stream. Each run ends within two minutes.
//!
//! - `cargo bench --bench proxy -- load` measures latency and requests a second.
//! - `cargo bench --bench proxy -- allocations` counts heap allocations; the counts do
//!   not depend on what else the machine runs.
//! - `cargo bench --bench proxy -- memory` measures memory. It needs the backend server
//!   in a process of its own, as each open stream takes four file descriptors: run
//!   `cargo bench --bench proxy -- backend` in another shell.

use std::alloc::{GlobalAlloc, Layout, System};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use filberttiller::demo::{Fleet, FleetOptions};
use hdrhistogram::Histogram;
use standins::list::{Entry, InstanceState, Role};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};
use tokio::task::{JoinSet, yield_now};
use tokio::time::sleep;

/// Duration of one measurement.
const RUN_TIME: Duration = Duration::from_secs(4);
/// Connections that send requests without pause.
const CONNECTIONS: usize = 64;
/// Connections that send requests at a fixed rate.
const PACED_CONNECTIONS: usize = 16;
/// Number of threads of the callers, and of the backend server.
const THREADS: usize = 3;
/// Address of the backend server of the memory measurement.
const BACKEND: &str = "127.0.0.1:9700";
/// How long that backend server runs.
const BACKEND_TIME: Duration = Duration::from_secs(90);
/// Numbers of open streams of the memory measurement.
const STREAMS: [usize; 2] = [1_000, 5_000];
/// A short call to a service.
const CALL: &str = "GET /v1/services/stockroom/stock/x HTTP/1.1\r\nhost: a\r\n\
    filberttiller-organisation: dalisay\r\n\r\n";
/// Body of a streamed chat request.
const CHAT: &str =
    r#"{"model":"assistant","stream":true,"messages":[{"role":"user","content":"x"}]}"#;

/// Calls whose allocations are counted.
const COUNTED_CALLS: u64 = 5_000;

static COUNTING: AtomicBool = AtomicBool::new(false);
static COUNT: AtomicU64 = AtomicU64::new(0);
static BYTES: AtomicU64 = AtomicU64::new(0);

/// System allocator that counts allocations while [`COUNTING`] is set.
struct CountingAllocator;

// SAFETY: all calls are forwarded to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        if COUNTING.load(Ordering::Relaxed) {
            COUNT.fetch_add(1, Ordering::Relaxed);
            BYTES.fetch_add(layout.size() as u64, Ordering::Relaxed);
        }
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn main() {
    let callers = runtime(THREADS);
    let backend = runtime(THREADS);
    let args: Vec<String> = std::env::args().skip(1).collect();
    let has_arg = |name: &str| args.iter().any(|it| it == name);
    if has_arg("backend") {
        return callers.block_on(async {
            let listener = TcpListener::bind(BACKEND).await.unwrap();
            backend.spawn(run_backend(listener.into_std().unwrap()));
            sleep(BACKEND_TIME).await;
        });
    }
    if has_arg("memory") {
        for streams in STREAMS {
            callers.block_on(memory(streams));
        }
        return;
    }
    if has_arg("allocations") {
        return callers.block_on(allocations(&backend));
    }
    for threads in [1, 4] {
        callers.block_on(load(&callers, &backend, threads));
    }
}

fn runtime(threads: usize) -> Runtime {
    Builder::new_multi_thread().worker_threads(threads).enable_all().build().unwrap()
}

/// One router with `threads` threads in front of one backend server.
async fn fleet(threads: usize, backend: SocketAddr, role: Role, pool: &str) -> Fleet {
    let mut options = FleetOptions {
        routers: 1,
        engines: 0,
        canaries: 0,
        services: 0,
        ..FleetOptions::default()
    };
    options.settings.traffic.threads = threads;
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    fleet.list.put(Entry {
        name: "backend".to_owned(),
        address: backend,
        control: None,
        domain: "luzon-a".to_owned(),
        role,
        pool: pool.to_owned(),
        standing: InstanceState::Live,
    });
    fleet.wait_until(|it| it.routers[0].shared().view.peek().pools.contains_key(pool)).await;
    fleet
}

/// Measures the allocations of the router for each short call: those of all threads
/// minus those of direct calls.
async fn allocations(backend: &Runtime) {
    let direct = start_backend(backend).await;
    let fleet = fleet(1, direct, Role::Service, "stockroom-app").await;
    let (direct_count, direct_bytes) = count_allocations(direct).await;
    let (routed_count, routed_bytes) = count_allocations(fleet.routers[0].address()).await;
    println!(
        "router: {:.1} allocations and {:.0} bytes a short call",
        routed_count - direct_count,
        routed_bytes - direct_bytes
    );
}

/// Allocations and their bytes for each call to `addr` over a persistent connection.
async fn count_allocations(addr: SocketAddr) -> (f64, f64) {
    let mut stream = connect(addr).await;
    for _ in 0..COUNTED_CALLS {
        call(&mut stream).await;
    }
    COUNT.store(0, Ordering::Relaxed);
    BYTES.store(0, Ordering::Relaxed);
    COUNTING.store(true, Ordering::Relaxed);
    for _ in 0..COUNTED_CALLS {
        call(&mut stream).await;
    }
    COUNTING.store(false, Ordering::Relaxed);
    let each = |it: &AtomicU64| it.load(Ordering::Relaxed) as f64 / COUNTED_CALLS as f64;
    (each(&COUNT), each(&BYTES))
}

/// Measures throughput, then latency at half of it, direct and through the router.
async fn load(callers: &Runtime, backend: &Runtime, threads: usize) {
    let direct = start_backend(backend).await;
    let fleet = fleet(threads, direct, Role::Service, "stockroom-app").await;
    let router = fleet.routers[0].address();
    let max_rate = flood(callers, router).await;
    println!("router with {threads} threads: {max_rate:.0} short calls a second");
    let rate = max_rate / 2.0;
    let (baseline, routed) =
        (paced(callers, direct, rate).await, paced(callers, router, rate).await);
    for quantile in [0.5, 0.99] {
        let micros = |it: &Histogram<u64>| it.value_at_quantile(quantile);
        let (baseline, routed) = (micros(&baseline), micros(&routed));
        let added = routed as i64 - baseline as i64;
        println!(
            "  at {rate:.0}/s, p{}: direct {baseline} us, router {routed} us, added {added} us",
            quantile * 100.0
        );
    }
}

/// Starts a backend server on a free port.
async fn start_backend(backend: &Runtime) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    backend.spawn(run_backend(listener.into_std().unwrap()));
    addr
}

/// Serves as backend server: answers a POST with a stream that sends one event and stays
/// open, and every other request with a fixed body.
async fn run_backend(listener: std::net::TcpListener) {
    let listener = TcpListener::from_std(listener).unwrap();
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve(BufReader::with_capacity(1_024, stream)));
    }
}

async fn serve(mut stream: BufReader<TcpStream>) {
    while let Some(head) = read_head(&mut stream).await {
        let length = field(&head, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        stream.read_exact(&mut vec![0; length]).await.unwrap();
        let reply = if head.starts_with("POST") {
            let id = field(&head, "x-request-id").unwrap_or("none");
            let event = format!("id: 0\ndata: {{\"id\":\"{id}\"}}\n\n");
            format!(
                "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{event}\r\n",
                event.len()
            )
        } else {
            "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}".to_owned()
        };
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Reads the head of a message, whose header names are in lower case; `None` when the
/// connection is closed.
async fn read_head(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    loop {
        let begin = head.len();
        stream.read_line(&mut head).await.ok().filter(|it| *it > 0)?;
        if &head[begin..] == "\r\n" {
            return Some(head);
        }
    }
}

/// Value of the header `name`.
fn field<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    head.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(": "))
}

async fn connect(addr: SocketAddr) -> BufReader<TcpStream> {
    let stream = TcpStream::connect(addr).await.unwrap();
    stream.set_nodelay(true).unwrap();
    BufReader::with_capacity(1_024, stream)
}

/// Makes one short call over a persistent connection.
async fn call(stream: &mut BufReader<TcpStream>) {
    stream.write_all(CALL.as_bytes()).await.unwrap();
    let head = read_head(stream).await.unwrap();
    assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    let length: usize = field(&head, "content-length").unwrap().parse().unwrap();
    stream.read_exact(&mut vec![0; length]).await.unwrap();
}

/// Calls a second when every connection sends without pause.
async fn flood(callers: &Runtime, addr: SocketAddr) -> f64 {
    let count = Arc::new(AtomicU64::new(0));
    let begin = Instant::now();
    let mut tasks = JoinSet::new();
    for _ in 0..CONNECTIONS {
        let count = Arc::clone(&count);
        let body = async move {
            let mut stream = connect(addr).await;
            while begin.elapsed() < RUN_TIME {
                call(&mut stream).await;
                count.fetch_add(1, Ordering::Relaxed);
            }
        };
        tasks.spawn_on(body, callers.handle());
    }
    tasks.join_all().await;
    count.load(Ordering::Relaxed) as f64 / begin.elapsed().as_secs_f64()
}

/// Latencies in microseconds at `rate` calls a second; each is counted from the time at
/// which the call was due.
async fn paced(callers: &Runtime, addr: SocketAddr, rate: f64) -> Histogram<u64> {
    let period = Duration::from_secs_f64(PACED_CONNECTIONS as f64 / rate);
    let mut tasks = JoinSet::new();
    for i in 0..PACED_CONNECTIONS {
        let body = async move {
            let mut times = Histogram::<u64>::new(3).unwrap();
            let mut stream = connect(addr).await;
            sleep(period.mul_f64(i as f64 / PACED_CONNECTIONS as f64)).await;
            let begin = Instant::now();
            let mut due = begin;
            while begin.elapsed() < RUN_TIME {
                // Timers are too coarse for waits of less than a millisecond.
                while Instant::now() < due {
                    yield_now().await;
                }
                call(&mut stream).await;
                times.record(due.elapsed().as_micros() as u64).unwrap();
                due += period;
            }
            times
        };
        tasks.spawn_on(body, callers.handle());
    }
    let mut all = Histogram::<u64>::new(3).unwrap();
    for it in tasks.join_all().await {
        all.add(it).unwrap();
    }
    all
}

/// Measures the memory of open streams: that of streams through the router minus that of
/// streams straight to the backend server.
async fn memory(streams: usize) {
    let direct: SocketAddr = BACKEND.parse().unwrap();
    let fleet = fleet(4, direct, Role::Engine, "assistant-llm").await;
    let router = fleet.routers[0].address();
    let begin = resident_bytes();
    let _direct = open_streams(direct, STREAMS[0]).await;
    let baseline = (resident_bytes() - begin) as f64 / STREAMS[0] as f64;
    let begin = resident_bytes();
    let _routed = open_streams(router, streams).await;
    let routed = (resident_bytes() - begin) as f64 / streams as f64;
    println!("{streams} open streams: {:.1} KiB each in the router", (routed - baseline) / 1_024.0);
}

/// Opens `count` streams to `addr` and reads the first event of each.
async fn open_streams(addr: SocketAddr, count: usize) -> Vec<BufReader<TcpStream>> {
    let mut all = Vec::with_capacity(count);
    for i in 0..count {
        let mut stream = connect(addr).await;
        let request = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: a\r\nfilberttiller-organisation: dalisay\r\n\
             filberttiller-chat: c{i}\r\ncontent-length: {}\r\n\r\n{CHAT}",
            CHAT.len()
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        let head = read_head(&mut stream).await.unwrap();
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
        let mut line = String::new();
        while !line.contains("data: ") {
            line.clear();
            stream.read_line(&mut line).await.unwrap();
        }
        all.push(stream);
    }
    all
}

/// Resident memory of this process in bytes.
fn resident_bytes() -> i64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap();
    let line = status.lines().find_map(|it| it.strip_prefix("VmRSS:")).unwrap();
    line.trim().trim_end_matches(" kB").parse::<i64>().unwrap() * 1_024
}
