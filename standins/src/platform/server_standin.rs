//! A backend server that writes raw bytes, so that it can fail in ways that no
//! HTTP library allows.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::platform::{HandledRequest, ServerBehaviour};

/// Delay of an answer that never comes; longer than any caller's timeout.
const HANG_TIME: Duration = Duration::from_secs(3_600);
/// Pause between the last bytes of an answer and the reset of its connection.
const RESET_PAUSE: Duration = Duration::from_millis(20);
/// Pause between the head of an answer and the crash of its server.
const CRASH_PAUSE: Duration = Duration::from_millis(20);
/// Bytes that an answer without end writes at once, at least.
const ENDLESS_PIECE_BYTES: usize = 8 * 1024;
/// Number of events in a complete stream.
const STREAM_EVENTS: u32 = 6;
/// Signature of all answers.
const SIGNATURE: &str = "seal-1";

#[derive(Debug)]
struct Shared {
    id: String,
    behaviour: Mutex<ServerBehaviour>,
    /// Time between events, and before other answers.
    delay: Mutex<Duration>,
    /// Requests a second that it names as its limit.
    limit: Mutex<Option<f64>>,
    /// What it says of its leaving.
    leaving: Mutex<Option<String>>,
    /// `retry-after` of requests that it turns away.
    delay_asked: Mutex<Option<String>>,
    /// Software version that its events name.
    version: Mutex<Option<String>>,
    /// Bytes of answers without end that callers took.
    endless_bytes: AtomicUsize,
    handled: Mutex<Vec<HandledRequest>>,
    turned_away: Mutex<Vec<Instant>>,
    /// Ids of requests whose caller closed the connection while they ran.
    abandoned: Mutex<Vec<String>>,
    crashed: Notify,
}

impl Shared {
    /// Headers of all answers in which it states its condition.
    fn statements(&self) -> String {
        let limit = self.limit.lock().unwrap().map(|it| format!("server-limit: {it}\r\n"));
        let leaving = self.leaving.lock().unwrap().clone();
        let leaving = leaving.map(|it| format!("server-leaving: {it}\r\n"));
        limit.unwrap_or_default() + &leaving.unwrap_or_default()
    }
}

/// What happens to a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum NextStep {
    KeepOpen,
    Close,
    Reset,
}

/// A running backend server; it stops when dropped.
#[derive(Debug)]
pub struct ServerStandin {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl ServerStandin {
    /// Starts a server named `id` on a free port. Paths that contain `stream` answer with events.
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
            limit: Mutex::default(),
            leaving: Mutex::default(),
            delay_asked: Mutex::default(),
            version: Mutex::default(),
            endless_bytes: AtomicUsize::new(0),
            handled: Mutex::default(),
            turned_away: Mutex::default(),
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

    /// Id of the server.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the behaviour for all later requests.
    pub fn set_behaviour(&self, behaviour: ServerBehaviour) {
        *self.shared.behaviour.lock().unwrap() = behaviour;
    }

    /// Sets the time between events, and before other answers.
    pub fn set_delay(&self, delay: Duration) {
        *self.shared.delay.lock().unwrap() = delay;
    }

    /// Sets the limit that all later answers name, in requests a second.
    pub fn set_limit(&self, limit: Option<f64>) {
        *self.shared.limit.lock().unwrap() = limit;
    }

    /// Sets what all later answers say of its leaving; `1` says that it leaves.
    pub fn set_leaving(&self, value: Option<&str>) {
        *self.shared.leaving.lock().unwrap() = value.map(str::to_owned);
    }

    /// Sets for how long it wants no requests, in seconds, when it turns one away
    /// (`ServerBehaviour::Shed`).
    pub fn set_retry_after(&self, value: Option<&str>) {
        *self.shared.delay_asked.lock().unwrap() = value.map(str::to_owned);
    }

    /// When requests arrived that it turned away.
    pub fn turned_away(&self) -> Vec<Instant> {
        self.shared.turned_away.lock().unwrap().clone()
    }

    /// Sets the software version that the events of later streams name.
    pub fn set_version(&self, version: &str) {
        *self.shared.version.lock().unwrap() = Some(version.to_owned());
    }

    /// Bytes of answers without end that callers took.
    pub fn endless_bytes(&self) -> usize {
        self.shared.endless_bytes.load(Ordering::Relaxed)
    }

    /// All requests that it ran.
    pub fn handled(&self) -> Vec<HandledRequest> {
        self.shared.handled.lock().unwrap().clone()
    }

    /// Whether it has crashed.
    pub fn has_crashed(&self) -> bool {
        self.task.is_finished()
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
            // Callers see a broken connection themselves; the stand-in ignores it.
            let _ = serve(stream, &shared).await;
        });
    }
}

async fn serve(stream: TcpStream, shared: &Shared) -> io::Result<()> {
    let mut stream = BufReader::new(stream);
    let mut reused = false;
    while let Some(request) = read_request(&mut stream).await? {
        if reused && *shared.behaviour.lock().unwrap() == ServerBehaviour::SilentWhenReused {
            sleep(HANG_TIME).await;
        }
        reused = true;
        let id = request.id().to_owned();
        let mut probe = [0];
        let (mut reader, mut writer) = stream.get_mut().split();
        let next = tokio::select! {
            next = respond(&mut writer, request, shared) => next?,
            // Callers send nothing while they wait, so a read returns only when they close.
            _ = reader.read(&mut probe) => {
                shared.abandoned.lock().unwrap().push(id);
                return Ok(());
            }
        };
        match next {
            NextStep::KeepOpen => {}
            NextStep::Close => return Ok(()),
            NextStep::Reset => return stream.get_ref().set_zero_linger(),
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

/// Answers a request.
async fn respond<W: AsyncWriteExt + Unpin>(
    writer: &mut W,
    request: HandledRequest,
    shared: &Shared,
) -> io::Result<NextStep> {
    let behaviour = *shared.behaviour.lock().unwrap();
    let delay = *shared.delay.lock().unwrap();
    let id = request.id().to_owned();
    let stated = shared.statements();
    let is_addressee = request.header("expect-instance").is_none_or(|it| it == shared.id);
    if !is_addressee {
        let text = format!(
            "HTTP/1.1 421 Misdirected Request\r\nnot-run: 1\r\ninstance-id: {}\r\n{stated}content-length: 0\r\n\r\n",
            shared.id
        );
        writer.write_all(text.as_bytes()).await?;
        return Ok(NextStep::KeepOpen);
    }
    if behaviour == ServerBehaviour::Shed {
        shared.turned_away.lock().unwrap().push(request.at);
        let delay = shared.delay_asked.lock().unwrap().clone();
        let delay = delay.map(|it| format!("retry-after: {it}\r\n")).unwrap_or_default();
        let text = format!(
            "HTTP/1.1 503 Service Unavailable\r\nnot-run: 1\r\n{stated}{delay}content-length: 0\r\n\r\n"
        );
        writer.write_all(text.as_bytes()).await?;
        return Ok(NextStep::KeepOpen);
    }
    let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let stream = request.line.contains("stream");
    let is_fatal = match behaviour {
        ServerBehaviour::Crash => true,
        ServerBehaviour::CrashOnPart(part) => request.has_part(part),
        _ => false,
    };
    let body = format!("{} of {}", request.line.trim(), shared.id);
    shared.handled.lock().unwrap().push(request);
    if is_fatal {
        if stream && behaviour != ServerBehaviour::Crash {
            writer.write_all(stream_head(&id, &stated, behaviour).as_bytes()).await?;
            sleep(CRASH_PAUSE).await;
        }
        shared.crashed.notify_one();
        sleep(HANG_TIME).await;
    }
    match behaviour {
        ServerBehaviour::LoseAnswer => return Ok(NextStep::Close),
        ServerBehaviour::Hang => sleep(HANG_TIME).await,
        _ => {}
    }
    if let Some((start, piece)) = behaviour.endless() {
        let is_body =
            matches!(behaviour, ServerBehaviour::EndlessBody | ServerBehaviour::EndlessChunks);
        let head = stream_head(&id, &stated, behaviour);
        let start = if is_body { &head } else { start };
        writer.write_all(start.as_bytes()).await?;
        return write_without_end(writer, piece, shared).await;
    }
    if stream {
        writer.write_all(stream_head(&id, &stated, behaviour).as_bytes()).await?;
        let version = shared.version.lock().unwrap().clone();
        let suffix = version.map(|it| format!(" {it}")).unwrap_or_default();
        return stream_events(writer, after, &suffix, behaviour, delay).await;
    }
    sleep(delay).await;
    let text = full_answer(&id, &stated, &body, behaviour);
    if let ServerBehaviour::UnframedResetAfter(_) = behaviour {
        let (sent, _) = text.split_at(text.len() - body.len() / 2);
        writer.write_all(sent.as_bytes()).await?;
        return pause_before_reset().await;
    }
    writer.write_all(text.as_bytes()).await?;
    Ok(match behaviour {
        ServerBehaviour::ShortBody | ServerBehaviour::Garbage => NextStep::Close,
        _ if behaviour.is_unframed() => NextStep::Close,
        _ => NextStep::KeepOpen,
    })
}

/// Repeats `piece` until the caller closes the connection.
async fn write_without_end<W: AsyncWriteExt + Unpin>(
    writer: &mut W,
    piece: &str,
    shared: &Shared,
) -> io::Result<NextStep> {
    let pieces = piece.repeat(ENDLESS_PIECE_BYTES.div_ceil(piece.len()));
    loop {
        writer.write_all(pieces.as_bytes()).await?;
        shared.endless_bytes.fetch_add(pieces.len(), Ordering::Relaxed);
    }
}

/// Lets the peer read what was sent, as a reset discards what it has not read yet.
async fn pause_before_reset() -> io::Result<NextStep> {
    sleep(RESET_PAUSE).await;
    Ok(NextStep::Reset)
}

fn full_answer(id: &str, stated: &str, body: &str, behaviour: ServerBehaviour) -> String {
    let status = if behaviour == ServerBehaviour::ServerError { "500 Error" } else { "200 OK" };
    let id = if behaviour == ServerBehaviour::WrongId { "another" } else { id };
    let signature_header =
        if behaviour == ServerBehaviour::Unsigned { "x-none" } else { "server-seal" };
    let version = behaviour.version();
    let head = format!(
        "{version} {status}\r\nrequest-id: {id}\r\n{signature_header}: {SIGNATURE}\r\n\
         {stated}content-type: text/plain\r\n"
    );
    let length = body.len();
    match behaviour {
        ServerBehaviour::Garbage => "no answer at all\r\n\r\n".to_owned(),
        ServerBehaviour::ShortBody => format!("{head}content-length: {}\r\n\r\n{body}", length + 5),
        ServerBehaviour::Encoded => {
            format!("{head}content-encoding: gzip\r\ncontent-length: {length}\r\n\r\n{body}")
        }
        ServerBehaviour::ExtraAnswer => {
            let one = format!("{head}content-length: {length}\r\n\r\n{body}");
            format!("{one}{one}")
        }
        _ if behaviour.is_unframed() => format!("{head}\r\n{body}"),
        _ => format!("{head}content-length: {length}\r\n\r\n{body}"),
    }
}

async fn stream_events<W: AsyncWriteExt + Unpin>(
    writer: &mut W,
    after: u32,
    suffix: &str,
    behaviour: ServerBehaviour,
    delay: Duration,
) -> io::Result<NextStep> {
    let encode: fn(&str) -> String = match behaviour.is_unframed() {
        true => str::to_owned,
        false => chunk,
    };
    if behaviour == ServerBehaviour::UnframedEmpty {
        return Ok(NextStep::Close);
    }
    for number in after + 1..=STREAM_EVENTS {
        sleep(delay).await;
        let event = format!("id: {number}\ndata: token-{number}{suffix}\n\n");
        if behaviour.breaks_after() == Some(number - 1) {
            let half = &event[..event.len() / 2];
            writer.write_all(encode(half).as_bytes()).await?;
            return Ok(NextStep::Close);
        }
        if behaviour == ServerBehaviour::UnframedResetAfter(number - 1) {
            return pause_before_reset().await;
        }
        if behaviour == ServerBehaviour::StallAfter(number - 1) {
            sleep(HANG_TIME).await;
        }
        writer.write_all(encode(&event).as_bytes()).await?;
    }
    if behaviour.is_unframed() {
        return Ok(NextStep::Close);
    }
    writer.write_all(b"0\r\n\r\n").await?;
    Ok(NextStep::KeepOpen)
}

fn stream_head(id: &str, stated: &str, behaviour: ServerBehaviour) -> String {
    let version = behaviour.version();
    let framing = if behaviour.is_unframed() { "" } else { "transfer-encoding: chunked\r\n" };
    format!(
        "{version} 200 OK\r\nrequest-id: {id}\r\nserver-seal: {SIGNATURE}\r\n\
         {stated}content-type: text/event-stream\r\n{framing}\r\n"
    )
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
