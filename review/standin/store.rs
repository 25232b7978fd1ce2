//! Stand-in of the platform's store: keyed topics with one partition each.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::http::{Head, read_body, read_head};

#[derive(Default)]
struct Topic {
    records: Vec<Vec<u8>>,
    newest: BTreeMap<String, (Vec<u8>, usize)>,
}

impl Topic {
    /// Appends a record: length of the key, key, value.
    fn append(&mut self, record: Vec<u8>) {
        let length = usize::from(record[0]);
        let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
        let value = record[length + 1..].to_vec();
        match value.is_empty() {
            true => self.newest.remove(&key),
            false => self.newest.insert(key, (value, self.records.len())),
        };
        self.records.push(record);
    }
}

#[derive(Default)]
struct Shared {
    topics: Mutex<BTreeMap<String, Topic>>,
    changed: Condvar,
}

/// Time of each answer.
const LATENCY: Duration = Duration::from_millis(4);
/// `readMbS` of the settings, in bytes.
const READ_RATE: f64 = 80e6;

/// A running store. Cheap to clone.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<Shared>,
    /// It turns those away that call it at this address.
    rejects: Arc<AtomicBool>,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        Store::listen(Arc::default())
    }

    /// The same store at another address, for machines that it may turn away.
    pub fn start_other(&self) -> io::Result<Store> {
        Store::listen(Arc::clone(&self.shared))
    }

    fn listen(shared: Arc<Shared>) -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Store { address: listener.local_addr()?, shared, rejects: Arc::default() };
        let it = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let it = it.clone();
                thread::spawn(move || it.serve(stream));
            }
        });
        Ok(store)
    }

    /// Sets whether it turns those away that call it at this address.
    pub fn set_rejects(&self, rejects: bool) {
        self.rejects.store(rejects, Ordering::SeqCst);
    }

    /// Writes the newest value of a key; an empty one removes it.
    pub fn put(&self, topic: &str, key: &str, value: &str) {
        let mut record = vec![key.len() as u8];
        record.extend(key.as_bytes());
        record.extend(value.as_bytes());
        self.append(topic, vec![record]);
    }

    fn append(&self, topic: &str, records: Vec<Vec<u8>>) -> (usize, usize) {
        let mut topics = self.shared.topics.lock().unwrap();
        let topic = topics.entry(topic.to_owned()).or_default();
        let offset = topic.records.len();
        records.into_iter().for_each(|it| topic.append(it));
        let end = topic.records.len();
        self.shared.changed.notify_all();
        (offset, end)
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        while let Some(head) = read_head(&mut stream)? {
            let body = read_body(&mut stream, &head)?;
            let (status, kind, answer) = match self.rejects.load(Ordering::SeqCst) {
                true => ("503 Service Unavailable", "application/json", b"{}".to_vec()),
                false => self.answer(&head, &body),
            };
            sleep(LATENCY + Duration::from_secs_f64(answer.len() as f64 / READ_RATE));
            let text = format!(
                "HTTP/1.1 {status}\r\nStore-Era: 1\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            let mut bytes = text.into_bytes();
            bytes.extend(answer);
            stream.get_mut().write_all(&bytes)?;
        }
        Ok(())
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, &'static str, Vec<u8>) {
        let (path, query) = head.path().split_once('?').unwrap_or((head.path(), ""));
        let value = |name: &str| {
            query.split('&').find_map(|it| it.strip_prefix(name)?.strip_prefix('=')).unwrap_or("")
        };
        let json = "application/json";
        match path {
            "/log-append" => {
                let (offset, end) = self.append(value("topic"), split(body));
                ("200 OK", json, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
            }
            "/log-newest" => ("200 OK", json, self.newest(value("topic"), value("after"))),
            "/log-read" => {
                let wait = Duration::from_millis(value("waitMs").parse().unwrap_or(0));
                let limit = value("maxKb").parse().unwrap_or(1_024) * 1_024;
                match self.read(value("topic"), value("from").parse().unwrap_or(0), wait, limit) {
                    Some(bytes) => ("200 OK", "application/octet-stream", bytes),
                    None => ("410 Gone", json, b"{\"first\":0}".to_vec()),
                }
            }
            _ => ("404 Not Found", json, b"{}".to_vec()),
        }
    }

    fn newest(&self, topic: &str, after: &str) -> Vec<u8> {
        let topics = self.shared.topics.lock().unwrap();
        let Some(topic) = topics.get(topic) else {
            return b"{\"entries\":[],\"hasMore\":false,\"end\":0}".to_vec();
        };
        let later = topic.newest.iter().filter(|(key, _)| key.as_str() > after);
        let entries: Vec<String> = later
            .map(|(key, (value, offset))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let end = topic.records.len();
        format!("{{\"entries\":[{}],\"hasMore\":false,\"end\":{end}}}", entries.join(","))
            .into_bytes()
    }

    /// Records from the offset `from` on, at most `limit` bytes but one record at least.
    fn read(&self, topic: &str, from: usize, wait: Duration, limit: usize) -> Option<Vec<u8>> {
        let until = Instant::now() + wait;
        let mut topics = self.shared.topics.lock().unwrap();
        loop {
            let records = topics.get(topic).map_or(&[][..], |it| &it.records);
            if from > records.len() {
                return None;
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut bytes = (records.len() as u64).to_be_bytes().to_vec();
                bytes.extend(0u64.to_be_bytes());
                for (number, it) in records[from..].iter().enumerate() {
                    if number > 0 && bytes.len() + 4 + it.len() > limit {
                        break;
                    }
                    bytes.extend((it.len() as u32).to_be_bytes());
                    bytes.extend(it);
                }
                return Some(bytes);
            }
            topics = self.shared.changed.wait_timeout(topics, left).unwrap().0;
        }
    }
}

/// The records of one call, each after its length.
fn split(mut bytes: &[u8]) -> Vec<Vec<u8>> {
    let mut records = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<4>() {
        let length = u32::from_be_bytes(*length) as usize;
        records.push(rest[..length].to_vec());
        bytes = &rest[length..];
    }
    records
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut block = [0; 3];
        block[..group.len()].copy_from_slice(group);
        let bits = u32::from_be_bytes([0, block[0], block[1], block[2]]);
        for at in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * at)) as usize & 63];
            text.push(if at <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
