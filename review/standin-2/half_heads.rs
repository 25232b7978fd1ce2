//! A crowd that stops half-way in the heads of its requests.

use std::io::Write;
use std::net::TcpStream;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::{encode_request, new_id, send};
use crate::config::{Route, encode_config};
use crate::record::Record;
use crate::router::{Machine, Router};
use crate::store::Store;
use crate::worker::{Worker, keep_beating};
use crate::{folder, number};

pub fn run(record: &Record) -> bool {
    let folder = folder();
    let store = Store::new(record);
    let worker = Worker::start("i-1", "app", |worker, request, connection| {
        connection.send(&worker.reply(request, b"{}")).is_ok()
    });
    keep_beating(&[worker], &store);
    let route =
        Route { prefix: "/read/", kind: "idempotent", service: "app", attempts: 2, resume: false };
    store.put("keyed.op", "config", &encode_config(3, &[route], &["app"]));
    let view = store.view();
    let machine = Machine { name: "front-1", zone: "a", store: view.address, memory_mb: 112 };
    let mut router = Router::start(&folder, &machine);
    router.wait_ready(Duration::from_secs(15));
    record.say(&format!("memory {} KB", router.memory() / 1024));
    let mut all = Vec::new();
    let size = number("HEAD", 60_000) as usize;
    let head = "GET /read/x HTTP/1.1\r\nHost: shop.example\r\nX-Fill: ";
    let mut bytes = head.as_bytes().to_vec();
    while bytes.len() < size {
        bytes.extend_from_slice(b"0123456789abcdef");
    }
    let mut most = 0;
    for it in 0..number("CROWD", 1300) {
        let target = match it % 10 { 8 => router.directory, 9 => router.ready, _ => router.callers };
        match crate::system::connect_from(std::net::Ipv4Addr::new(127, 0, 0, 2 + (it % 13) as u8), target, None) {
            Ok(mut stream) => {
                stream.set_write_timeout(Some(Duration::from_millis(200))).unwrap();
                let _ = stream.write_all(&bytes);
                all.push(stream);
            }
            Err(e) => record.say(&format!("{it}: {e}")),
        }
        most = most.max(router.memory());
        if it % 100 == 0 {
            record.say(&format!("{it}: memory {} KB", router.memory() / 1024));
        }
    }
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(3) {
        most = most.max(router.memory());
        thread::sleep(Duration::from_millis(50));
    }
    let id = new_id(0);
    let answer = send(router.callers, &encode_request("GET", "/read/x", &id, 4000, b""), Duration::from_secs(5));
    record.say(&format!("most {} KB; ended {:?}; answer {:?}", most / 1024, router.ended(), answer.map(|it| it.status())));
    most > 112 * 1024 * 1024
}
