//! Backend servers at the level of bytes, for faults that no HTTP library makes.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use filberttiller::demo::Fleet;
use standins::list::{Entry, Role, Standing};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// One request as it arrived.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    pub line: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl Seen {
    /// The value of a header, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(": "))
    }

    /// The id that the router gave it.
    pub fn id(&self) -> &str {
        self.header("x-request-id").unwrap_or_default()
    }
}

/// What the server does with a request.
pub enum Act {
    /// Answers and waits for the next request.
    Answer(String),
    /// Sends this, then closes.
    Close(String),
    /// Never answers.
    Hang,
}

/// How the server treats each request.
type Script = Arc<dyn Fn(&Seen) -> Act + Send + Sync>;

/// A backend server made of a script.
pub struct Fake {
    pub addr: SocketAddr,
    pub seen: Arc<Mutex<Vec<Seen>>>,
    task: JoinHandle<()>,
}

impl Fake {
    /// Serves all requests by `script`; calls for the load are answered apart.
    pub async fn start(script: impl Fn(&Seen) -> Act + Send + Sync + 'static) -> Fake {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let seen = Arc::new(Mutex::new(Vec::new()));
        let all = Arc::clone(&seen);
        let script: Script = Arc::new(script);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(carry(stream, Arc::clone(&script), Arc::clone(&all)));
            }
        });
        Fake { addr, seen, task }
    }

    /// Puts the server into the list as the only one of `pool` and waits until
    /// the first router knows it.
    pub async fn join(&self, fleet: &Fleet, role: Role, pool: &str) {
        join(fleet, self.addr, role, pool).await;
    }

    /// Requests seen so far.
    pub fn count(&self) -> usize {
        self.seen.lock().unwrap().len()
    }
}

impl Drop for Fake {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Puts `addr` into the list and waits until the first router knows it.
pub async fn join(fleet: &Fleet, addr: SocketAddr, role: Role, pool: &str) {
    fleet.list.put(Entry {
        name: format!("{pool}-{}", addr.port()),
        address: addr,
        control: None,
        domain: "luzon-a".to_owned(),
        role,
        pool: pool.to_owned(),
        standing: Standing::Live,
    });
    let knows = |it: &Fleet| {
        let view = it.routers[0].shared().view.peek();
        view.pools.get(pool).is_some_and(|it| it.servers.iter().any(|s| s.address == addr))
    };
    fleet.wait_until(knows).await;
}

/// An answer with its length.
pub fn answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

/// The head of a stream whose length is not known beforehand.
pub fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        .to_owned()
}

/// One chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn carry(stream: TcpStream, script: Script, all: Arc<Mutex<Vec<Seen>>>) {
    let mut stream = BufReader::new(stream);
    while let Some(seen) = read(&mut stream).await {
        if seen.line.starts_with("GET /load") {
            let _ = stream.write_all(answer("200 OK", "", "{}").as_bytes()).await;
            continue;
        }
        let act = script(&seen);
        all.lock().unwrap().push(seen);
        match act {
            Act::Answer(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Act::Close(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Act::Hang => {
                let _ = stream.read_u8().await;
                return;
            }
        }
    }
}

async fn read(stream: &mut BufReader<TcpStream>) -> Option<Seen> {
    let mut seen = Seen::default();
    stream.read_line(&mut seen.line).await.ok().filter(|it| *it > 0)?;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok().filter(|it| *it > 0)?;
        if line == "\r\n" {
            break;
        }
        let (name, value) = line.trim_end().split_once(": ")?;
        seen.head.push_str(&format!("{}: {value}\n", name.to_lowercase()));
    }
    let length = seen.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    seen.body.resize(length, 0);
    stream.read_exact(&mut seen.body).await.ok()?;
    Some(seen)
}
