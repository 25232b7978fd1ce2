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

use crate::platform::ServerBehaviour;

/// Longest time without an answer; the caller gives up before.
const FOREVER: Duration = Duration::from_secs(3_600);
/// Events of a whole stream.
const EVENTS: u32 = 6;
/// Signature of all answers.
const SEAL: &str = "seal-1";

/// One request that was run.
#[derive(Debug, Clone)]
pub struct HandledRequest {
    /// When it arrived.
    pub at: Instant,
    /// Method, path and version.
    pub line: String,
    /// Headers in lower case names, a line each.
    pub head: String,
    /// The body.
    pub body: Vec<u8>,
}

impl HandledRequest {
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
    behaviour: Mutex<ServerBehaviour>,
    /// Time between events, and before other answers.
    delay: Mutex<Duration>,
    handled: Mutex<Vec<HandledRequest>>,
    /// Ids of requests whose caller closed the connection while they ran.
    abandoned: Mutex<Vec<String>>,
    crashed: Notify,
}

/// A running backend server; it stops when dropped.
#[derive(Debug)]
pub struct ServerStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl ServerStandin {
    /// A server called `id` on a free port. Paths that contain `stream` answer with events.
    ///
    /// # Errors
    /// Fails when no port can be bound.
    pub async fn start(id: &str) -> io::Result<ServerStandin> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            behaviour: Mutex::new(ServerBehaviour::Good),
            delay: Mutex::new(Duration::from_millis(1)),
            handled: Mutex::default(),
            abandoned: Mutex::default(),
            crashed: Notify::new(),
        });
        let it = Arc::clone(&shared);
        let task = tokio::spawn(async move {
            tokio::select! {
                () = accept(listener, &it) => {}
                () = it.crashed.notified() => {}
            }
        });
        Ok(ServerStandin { address, shared, task })
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
    pub fn set_behaviour(&self, behaviour: ServerBehaviour) {
        *self.shared.behaviour.lock().unwrap() = behaviour;
    }

    /// Time between events, and before other answers.
    pub fn set_delay(&self, delay: Duration) {
        *self.shared.delay.lock().unwrap() = delay;
    }

    /// All requests that it ran.
    pub fn handled(&self) -> Vec<HandledRequest> {
        self.shared.handled.lock().unwrap().clone()
    }

    /// Ids of requests whose caller closed the connection while they ran.
    pub fn abandoned(&self) -> Vec<String> {
        self.shared.abandoned.lock().unwrap().clone()
    }
}

impl Drop for ServerStandin {
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
        if kept && *shared.behaviour.lock().unwrap() == ServerBehaviour::SilentWhenReused {
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
                shared.abandoned.lock().unwrap().push(id);
                return Ok(());
            }
        };
        if !keep {
            return Ok(());
        }
    }
    Ok(())
}

async fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<Option<HandledRequest>> {
    let mut line = String::new();
    if stream.read_line(&mut line).await? == 0 {
        return Ok(None);
    }
    let mut request =
        HandledRequest { at: Instant::now(), line, head: String::new(), body: Vec::new() };
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
    request: HandledRequest,
    shared: &Shared,
) -> io::Result<bool> {
    let behaviour = *shared.behaviour.lock().unwrap();
    let delay = *shared.delay.lock().unwrap();
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
    if behaviour == ServerBehaviour::Shed {
        let text = "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";
        writer.write_all(text.as_bytes()).await?;
        return Ok(true);
    }
    let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let stream = request.line.contains("stream");
    let body = format!("{} of {}", request.line.trim(), shared.id);
    shared.handled.lock().unwrap().push(request);
    match behaviour {
        ServerBehaviour::Crash => {
            shared.crashed.notify_one();
            sleep(FOREVER).await;
        }
        ServerBehaviour::LoseAnswer => return Ok(false),
        ServerBehaviour::Hang => sleep(FOREVER).await,
        _ => {}
    }
    if stream {
        return stream_events(writer, &id, after, behaviour, delay).await;
    }
    sleep(delay).await;
    let text = whole_answer(&id, &body, behaviour);
    writer.write_all(text.as_bytes()).await?;
    let open = !matches!(
        behaviour,
        ServerBehaviour::Unframed | ServerBehaviour::ShortBody | ServerBehaviour::Garbage
    );
    Ok(open)
}

fn whole_answer(id: &str, body: &str, behaviour: ServerBehaviour) -> String {
    let status = if behaviour == ServerBehaviour::ServerError { "500 Error" } else { "200 OK" };
    let id = if behaviour == ServerBehaviour::WrongId { "another" } else { id };
    let seal = if behaviour == ServerBehaviour::Unsigned { "x-none" } else { "server-seal" };
    let head = format!("HTTP/1.1 {status}\r\nrequest-id: {id}\r\n{seal}: {SEAL}\r\n");
    let length = body.len();
    match behaviour {
        ServerBehaviour::Garbage => "no answer at all\r\n\r\n".to_owned(),
        ServerBehaviour::Unframed => format!("{head}\r\n{body}"),
        ServerBehaviour::ShortBody => format!("{head}content-length: {}\r\n\r\n{body}", length + 5),
        ServerBehaviour::Encoded => {
            format!("{head}content-encoding: gzip\r\ncontent-length: {length}\r\n\r\n{body}")
        }
        ServerBehaviour::ExtraAnswer => {
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
    behaviour: ServerBehaviour,
    delay: Duration,
) -> io::Result<bool> {
    let head = format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {id}\r\nserver-seal: {SEAL}\r\n\
         content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    writer.write_all(head.as_bytes()).await?;
    for number in after + 1..=EVENTS {
        sleep(delay).await;
        let event = format!("id: {number}\ndata: token-{number}\n\n");
        if behaviour == ServerBehaviour::BreakAfter(number - 1) {
            let half = &event[..event.len() / 2];
            writer.write_all(chunk(half).as_bytes()).await?;
            return Ok(false);
        }
        if behaviour == ServerBehaviour::StallAfter(number - 1) {
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
