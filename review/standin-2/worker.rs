//! Workers.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crate::http::{Connection, Message, encode};
use crate::store::Store;

/// A request that a worker ran.
#[derive(Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

type Answer = dyn Fn(&Worker, &Message, &mut Connection) -> bool + Send + Sync;

pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub version: String,
    pub born: u64,
    pub runs: Mutex<Vec<Run>>,
    beats: Mutex<Option<u64>>,
    answer: Box<Answer>,
}

impl Worker {
    /// Starts a worker; `answer` writes its answers, and says whether the connection stays open.
    pub fn start(
        id: &str,
        service: &str,
        version: &str,
        answer: impl Fn(&Worker, &Message, &mut Connection) -> bool + Send + Sync + 'static,
    ) -> Arc<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let worker = Arc::new(Worker {
            id: id.to_owned(),
            address: listener.local_addr().expect("an address"),
            service: service.to_owned(),
            version: version.to_owned(),
            born: born.as_millis() as u64,
            runs: Mutex::default(),
            beats: Mutex::new(Some(0)),
            answer: Box::new(answer),
        });
        let it = Arc::clone(&worker);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let it = Arc::clone(&it);
                thread::spawn(move || it.serve(stream));
            }
        });
        worker
    }

    fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.request() {
            if !self.handle(&request, &mut connection) {
                return;
            }
        }
    }

    fn handle(&self, request: &Message, connection: &mut Connection) -> bool {
        let id = request.header("request-id").unwrap_or_default();
        let text = if request.header("expect-instance").is_some_and(|it| it != self.id) {
            encode("HTTP/1.1 421 Misdirected Request", &[("Not-Run", "1")], b"")
        } else if request.word(1) == "/healthz" {
            encode("HTTP/1.1 200 OK", &[("Instance-Id", self.id.as_str())], b"")
        } else if id.is_empty() {
            encode("HTTP/1.1 400 Bad Request", &[("Not-Run", "1")], b"")
        } else {
            self.runs.lock().unwrap().push(Run { id: id.to_owned(), at: Instant::now() });
            return (self.answer)(self, request, connection);
        };
        connection.send(&text).is_ok()
    }

    /// Encodes an answer with the signature.
    pub fn reply(&self, request: &Message, body: &[u8]) -> Vec<u8> {
        let id = request.header("request-id").unwrap_or_default();
        let seal = format!("{}.{id}", self.id);
        let headers = [
            ("Request-Id", id),
            ("Server-Seal", seal.as_str()),
            ("Instance-Id", self.id.as_str()),
            ("Keep-Alive", "timeout=5"),
        ];
        encode("HTTP/1.1 200 OK", &headers, body)
    }

    /// Writes its entry in `state`; none after it has ended.
    pub fn beat(&self, store: &Store, state: &str) {
        let mut beats = self.beats.lock().unwrap();
        let Some(sequence) = beats.as_mut() else { return };
        *sequence += 1;
        let Worker { service, address, version, born, .. } = self;
        let text = format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"a\",\
             \"version\":\"{version}\",\"slots\":64,\"state\":\"{state}\",\"coldRemainingMs\":0,\
             \"sequence\":{sequence},\"born\":{born}}}"
        );
        store.put("keyed.servers", &self.id, text.as_bytes());
    }

    /// Removes its entry; it goes on serving. Returns when the store accepted that.
    pub fn leave(&self, store: &Store) -> Instant {
        *self.beats.lock().unwrap() = None;
        store.put("keyed.servers", &self.id, b"")
    }
}

/// Writes the entries of `workers` again and again, as workers do.
pub fn keep_beating(workers: &[Arc<Worker>], store: &Store) {
    let (workers, store) = (workers.to_vec(), store.clone());
    for it in &workers {
        it.beat(&store, "ready");
    }
    thread::spawn(move || {
        loop {
            for it in &workers {
                thread::sleep(Duration::from_millis(1_200) / workers.len() as u32);
                it.beat(&store, "ready");
            }
        }
    });
}
