//! Backend servers that send raw bytes, for faults that no HTTP library produces.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use filberttiller::demo::Fleet;
use standins::list::{Entry, InstanceState, Role};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// One request as received.
#[derive(Debug, Clone, Default)]
pub struct ReceivedRequest {
    pub line: String,
    pub head: String,
    pub body: Vec<u8>,
}

impl ReceivedRequest {
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
pub enum Action {
    /// Answers and waits for the next request.
    Answer(String),
    /// Sends the text, then closes the connection.
    Close(String),
    /// Never answers.
    Hang,
}

/// Decides what the server does with each request.
type Script = Arc<dyn Fn(&ReceivedRequest) -> Action + Send + Sync>;

/// A backend server driven by a script.
pub struct ScriptedServer {
    pub addr: SocketAddr,
    pub received: Arc<Mutex<Vec<ReceivedRequest>>>,
    task: JoinHandle<()>,
}

impl ScriptedServer {
    /// Serves all requests by `script`, except for `GET /load`, which gets an empty
    /// report and is not counted.
    pub async fn start(
        script: impl Fn(&ReceivedRequest) -> Action + Send + Sync + 'static,
    ) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let all = Arc::clone(&received);
        let script: Script = Arc::new(script);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve_connection(stream, Arc::clone(&script), Arc::clone(&all)));
            }
        });
        ScriptedServer { addr, received, task }
    }

    /// Adds the server to `pool` in the instance list and waits until the first
    /// router knows it.
    pub async fn register(&self, fleet: &Fleet, role: Role, pool: &str) {
        register(fleet, self.addr, role, pool).await;
    }

    /// Requests received so far.
    pub fn count(&self) -> usize {
        self.received.lock().unwrap().len()
    }
}

impl Drop for ScriptedServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Adds `addr` to the instance list and waits until the first router knows it.
pub async fn register(fleet: &Fleet, addr: SocketAddr, role: Role, pool: &str) {
    fleet.list.put(Entry {
        name: format!("{pool}-{}", addr.port()),
        address: addr,
        control: None,
        domain: "luzon-a".to_owned(),
        role,
        pool: pool.to_owned(),
        standing: InstanceState::Live,
    });
    let knows = |it: &Fleet| {
        let view = it.routers[0].shared().view.peek();
        view.pools.get(pool).is_some_and(|it| it.servers.iter().any(|s| s.address == addr))
    };
    fleet.wait_until(knows).await;
}

/// An answer with its length.
pub fn http_answer(status: &str, headers: &str, body: &str) -> String {
    format!("HTTP/1.1 {status}\r\n{headers}content-length: {}\r\n\r\n{body}", body.len())
}

/// The head of a chunked event stream.
pub fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        .to_owned()
}

/// One chunk of a chunked body.
pub fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

async fn serve_connection(
    stream: TcpStream,
    script: Script,
    all: Arc<Mutex<Vec<ReceivedRequest>>>,
) {
    let mut stream = BufReader::new(stream);
    while let Some(received) = read_request(&mut stream).await {
        if received.line.starts_with("GET /load") {
            let _ = stream.write_all(http_answer("200 OK", "", "{}").as_bytes()).await;
            continue;
        }
        let act = script(&received);
        all.lock().unwrap().push(received);
        match act {
            Action::Answer(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
            }
            Action::Close(text) => {
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Action::Hang => {
                let _ = stream.read_u8().await;
                return;
            }
        }
    }
}

async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<ReceivedRequest> {
    let mut received = ReceivedRequest::default();
    stream.read_line(&mut received.line).await.ok().filter(|it| *it > 0)?;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await.ok().filter(|it| *it > 0)?;
        if line == "\r\n" {
            break;
        }
        let (name, value) = line.trim_end().split_once(": ")?;
        received.head.push_str(&format!("{}: {value}\n", name.to_lowercase()));
    }
    let length = received.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    received.body.resize(length, 0);
    stream.read_exact(&mut received.body).await.ok()?;
    Some(received)
}
