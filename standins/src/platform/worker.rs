//! A backend server at the level of bytes, so that it can fail in ways that no
//! HTTP library allows.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::platform::Conduct;

/// Longest time without an answer; the caller gives up before.
const FOREVER: Duration = Duration::from_secs(3_600);
/// Events of a whole stream.
const EVENTS: u32 = 6;
/// Signature of all answers.
const SEAL: &str = "seal-1";

/// One request that was run.
#[derive(Debug, Clone)]
pub struct Ran {
    /// When it arrived.
    pub at: Instant,
    /// Method, path and version.
    pub line: String,
    /// Headers in lower case names, a line each.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl Ran {
    /// The value of a header, named in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.head.lines().find_map(|it| it.strip_prefix(name)?.strip_prefix(": "))
    }

    /// Identity of the request.
    pub fn id(&self) -> &str {
        self.header("request-id").unwrap_or_default()
    }
}

#[derive(Debug)]
struct Shared {
    id: String,
    conduct: Mutex<Conduct>,
    /// Time between events, and before other answers.
    pace: Mutex<Duration>,
    ran: Mutex<Vec<Ran>>,
    /// Ids of requests whose caller closed the connection while they ran.
    left: Mutex<Vec<String>>,
    dead: Notify,
}

/// A running backend server; it stops when dropped.
#[derive(Debug)]
pub struct Worker {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Worker {
    /// A server called `id` on a free port. Paths that contain `stream` answer with events.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start(id: &str) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            conduct: Mutex::new(Conduct::Good),
            pace: Mutex::new(Duration::from_millis(1)),
            ran: Mutex::default(),
            left: Mutex::default(),
            dead: Notify::new(),
        });
        let it = Arc::clone(&shared);
        let task = tokio::spawn(async move {
            tokio::select! {
                () = accept(listener, &it) => {}
                () = it.dead.notified() => {}
            }
        });
        Ok(Worker { address, shared, task })
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Treats requests so from now on.
    pub fn set_conduct(&self, conduct: Conduct) {
        *self.shared.conduct.lock().unwrap() = conduct;
    }

    /// Time between events, and before other answers.
    pub fn set_pace(&self, pace: Duration) {
        *self.shared.pace.lock().unwrap() = pace;
    }

    /// All requests that it ran.
    pub fn ran(&self) -> Vec<Ran> {
        self.shared.ran.lock().unwrap().clone()
    }

    /// Ids of requests whose caller closed the connection while they ran.
    pub fn left(&self) -> Vec<String> {
        self.shared.left.lock().unwrap().clone()
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: &Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((stream, _)) = listener.accept().await {
        let shared = Arc::clone(shared);
        connections.spawn(async move {
            // A connection that breaks is the caller's matter.
            let _ = serve(stream, &shared).await;
        });
    }
}

async fn serve(stream: TcpStream, shared: &Shared) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut kept = false;
    while let Some(request) = read_request(&mut stream).await? {
        if kept && *shared.conduct.lock().unwrap() == Conduct::SilentWhenKept {
            sleep(FOREVER).await;
        }
        kept = true;
        let id = request.id().to_owned();
        let mut gone = [0];
        let (mut reader, mut writer) = stream.get_mut().split();
        let keep = tokio::select! {
            keep = respond(&mut writer, request, shared) => keep?,
            // Callers send nothing while they wait: this is their end.
            _ = reader.read(&mut gone) => {
                shared.left.lock().unwrap().push(id);
                return Ok(());
            }
        };
        if !keep {
            return Ok(());
        }
    }
    Ok(())
}

async fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<Ran>> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let mut request = Ran { at: Instant::now(), line, head: String::new(), body: Vec::new() };
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        if line.trim().is_empty() {
            break;
        }
        request.head.push_str(line.trim_end());
        request.head.push('\n');
    }
    let length = request.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    request.body = vec![0; length];
    stream.read_exact(&mut request.body).await?;
    Ok(Some(request))
}

/// Answers a request; false when the connection ends.
async fn respond<W: AsyncWriteExt + Unpin>(
    writer: &mut W,
    request: Ran,
    shared: &Shared,
) -> io::Result<bool> {
    let conduct = *shared.conduct.lock().unwrap();
    let pace = *shared.pace.lock().unwrap();
    let id = request.id().to_owned();
    let meant = request.header("expect-instance").is_none_or(|it| it == shared.id);
    if !meant {
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\nnot-run: 1\r\ninstance-id: {}\r\ncontent-length: 0\r\n\r\n",
            shared.id
        );
        writer.write_all(text.as_bytes()).await?;
        return Ok(true);
    }
    if conduct == Conduct::Shed {
        let text = "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
        writer.write_all(text.as_bytes()).await?;
        return Ok(true);
    }
    let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let stream = request.line.contains("stream");
    let body = format!("{} of {}", request.line.trim(), shared.id);
    shared.ran.lock().unwrap().push(request);
    match conduct {
        Conduct::Die => {
            shared.dead.notify_one();
            sleep(FOREVER).await;
        }
        Conduct::LoseAnswer => return Ok(false),
        Conduct::Hang => sleep(FOREVER).await,
        _ => {}
    }
    if stream {
        return stream_events(writer, &id, after, conduct, pace).await;
    }
    sleep(pace).await;
    let text = whole_answer(&id, &body, conduct);
    writer.write_all(text.as_bytes()).await?;
    let open = !matches!(conduct, Conduct::Unframed | Conduct::Short | Conduct::Noise);
    Ok(open)
}

fn whole_answer(id: &str, body: &str, conduct: Conduct) -> String {
    let status = if conduct == Conduct::ServerError { "500 Error" } else { "200 OK" };
    let id = if conduct == Conduct::WrongId { "another" } else { id };
    let seal = if conduct == Conduct::Unsigned { "x-none" } else { "server-seal" };
    let head = format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\n{seal}: {SEAL}\r\n");
    let length = body.len();
    match conduct {
        Conduct::Noise => "no answer at all\r\n\r\n".to_owned(),
        Conduct::Unframed => format!("{head}\r\n{body}"),
        Conduct::Short => format!("{head}content-length: {}\r\n\r\n{body}", length + 5),
        Conduct::Encoded => {
            format!("{head}content-encoding: gzip\r\ncontent-length: {length}\r\n\r\n{body}")
        }
        Conduct::Extra => {
            let one = format!("{head}content-length: {length}\r\n\r\n{body}");
            format!("{one}{one}")
        }
        _ => format!("{head}content-length: {length}\r\n\r\n{body}"),
    }
}

async fn stream_events<W: AsyncWriteExt + Unpin>(
    writer: &mut W,
    id: &str,
    after: u32,
    conduct: Conduct,
    pace: Duration,
) -> io::Result<bool> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: {SEAL}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes()).await?;
    for number in after + 1..=EVENTS {
        sleep(pace).await;
        let event = format!("id: {number}\ndata: token-{number}\n\n");
        if conduct == Conduct::BreakAfter(number - 1) {
            let half = &event[..event.len() / 2];
            writer.write_all(chunk(half).as_bytes()).await?;
            return Ok(false);
        }
        if conduct == Conduct::StallAfter(number - 1) {
            sleep(FOREVER).await;
        }
        writer.write_all(chunk(&event).as_bytes()).await?;
    }
    writer.write_all(b"0\r\n\r\n").await?;
    Ok(true)
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
