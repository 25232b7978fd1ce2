//! A crowd of clients that stop half-way in the heads of their requests.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{encode_request, new_id, send};
use crate::config::{Route, encode_config};
use crate::record::Record;
use crate::router::{Machine, Router};
use crate::store::Store;
use crate::worker::{Worker, keep_beating};
use crate::{folder, is_disrupted, number, system, unable};

/// `limits.memoryMb` of the smallest machine of a sheet.
const MEMORY_MB: u32 = 112;
/// Addresses that the crowd connects from.
const SOURCES: usize = 13;
/// Pause between two requests of the ordinary client.
const PAUSE: Duration = Duration::from_millis(100);

pub fn run(record: &Record) -> bool {
    let folder = folder();
    let store = Store::new(record);
    let worker = Worker::start("i-1", "app", "v1", |worker, request, connection| {
        connection.send(&worker.reply(request, b"{}")).is_ok()
    });
    keep_beating(&[worker], &store);
    let route =
        Route { prefix: "/read/", kind: "idempotent", service: "app", attempts: 2, resume: false };
    store.put("keyed.op", "config", &encode_config(3, &[route], &["app"]));
    let view = store.view();
    let machine = Machine { name: "front-1", zone: "a", store: view.address, memory_mb: MEMORY_MB };
    let mut router = Router::start(&folder, &machine);
    router.wait_ready(Duration::from_secs(15));
    thread::sleep(Duration::from_secs(3));
    record.say(&format!("front-1 holds {} KB", router.memory() / 1024));
    let stop = Arc::new(AtomicBool::new(false));
    let ordinary = {
        let (address, record, stop) = (router.callers, record.clone(), Arc::clone(&stop));
        thread::spawn(move || ordinary(address, &record, &stop))
    };
    let crowd = connect_crowd(&router, record);
    let until = Instant::now() + Duration::from_secs(5);
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(500));
        record.say(&format!("front-1 holds {} KB", router.memory() / 1024));
    }
    let most = router.peak_memory();
    let ended = router.ended();
    stop.store(true, Ordering::SeqCst);
    let (served, sent) = ordinary.join().expect("the client ends");
    drop(crowd);
    let limit = u64::from(MEMORY_MB) * 1024 * 1024;
    record.say(&format!("ordinary requests served: {served} of {sent}"));
    record.say(&format!("at most {} KB, the limit is {} KB", most / 1024, limit / 1024));
    record.say(&format!("the process ended: {}", ended.is_some()));
    most > limit || ended.is_some()
}

/// Opens connections, each with a part of a head; without the disruption with whole requests.
fn connect_crowd(router: &Router, record: &Record) -> Vec<TcpStream> {
    let count = number("CROWD", 1_600) as usize;
    let size = number("HEAD", 65_000) as usize;
    let mut head = b"GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Note: ".to_vec();
    head.resize(size, b'n');
    let whole = encode_request("GET", "/read/x", &new_id(0), 4_000, b"");
    let bytes = if is_disrupted() { head } else { whole };
    record.say(&format!("{count} clients connect and send {} bytes each", bytes.len()));
    let mut crowd = Vec::new();
    for it in 0..count {
        let target = match it % 10 {
            8 => router.directory,
            9 => router.ready,
            _ => router.callers,
        };
        let source = Ipv4Addr::new(127, 0, 0, 2 + (it % SOURCES) as u8);
        let stream = system::connect_from(source, target, None);
        let mut stream = stream.unwrap_or_else(|e| unable(&format!("client {it}: {e}")));
        let _ = stream.set_write_timeout(Some(Duration::from_millis(200)));
        // The router may refuse a client at any point.
        if let Err(e) = stream.write_all(&bytes) {
            record.line(&format!("client {it}: {e}"));
        }
        crowd.push(stream);
    }
    crowd
}

/// Sends a request at a time; returns how many were served, and how many were sent.
fn ordinary(address: SocketAddr, record: &Record, stop: &AtomicBool) -> (usize, usize) {
    let (mut served, mut sent) = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        let id = new_id(0);
        let request = encode_request("GET", "/read/x", &id, 4_000, b"");
        let answer = send(address, &request, Duration::from_secs(4));
        sent += 1;
        served += usize::from(answer.as_ref().is_ok_and(|it| it.status() == 200));
        let text = answer.map_or_else(|e| e.to_string(), |it| it.status().to_string());
        record.line(&format!("ordinary client: {id} gets {text}"));
        thread::sleep(PAUSE);
    }
    (served, sent)
}
