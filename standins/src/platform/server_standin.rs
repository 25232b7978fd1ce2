//! A backend server that writes raw bytes, so that it can fail in ways that no
//! HTTP library allows.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::platform::server_answer::{
    HANG_TIME, NextStep, full_answer, pause_before_reset, refusal, stream_events, stream_head,
    write_without_end,
};
use crate::platform::{HandledRequest, ServerBehaviour};

/// Pause between the head of an answer and the crash of its server.
const CRASH_PAUSE: Duration = Duration::from_millis(20);

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
    /// Requests that it runs at once; it turns others away.
    room: Mutex<Option<usize>>,
    running: AtomicUsize,
    /// It says that it is brittle: it crashes once it turns more requests away in a second.
    brittle: Mutex<Option<usize>>,
    /// Length up to which other answers are filled.
    answer_bytes: AtomicUsize,
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
    /// Headers of all answers in which it names itself and states its condition.
    fn statements(&self) -> String {
        let id = format!("instance-id: {}\r\n", self.id);
        let limit = self.limit.lock().unwrap().map(|it| format!("server-limit: {it}\r\n"));
        let leaving = self.leaving.lock().unwrap().clone();
        let leaving = leaving.map(|it| format!("server-leaving: {it}\r\n"));
        let brittle = self.brittle.lock().unwrap().map(|it| format!("server-brittle: {it}\r\n"));
        let stated = [limit, leaving, brittle].into_iter().flatten();
        id + &stated.collect::<String>()
    }

    /// Takes a place for a request; `None` if there is no room.
    fn take_place(&self) -> Option<Place<'_>> {
        let running = self.running.fetch_add(1, Ordering::Relaxed);
        let place = Place(&self.running);
        let has_room = self.room.lock().unwrap().is_none_or(|room| running < room);
        has_room.then_some(place)
    }

    /// Whether it has turned more requests away in the last second than it bears.
    fn has_fallen(&self) -> bool {
        let turned_away = self.turned_away.lock().unwrap();
        let recent =
            turned_away.iter().rev().take_while(|it| it.elapsed() < Duration::from_secs(1));
        self.brittle.lock().unwrap().is_some_and(|limit| recent.count() > limit)
    }
}

/// The place of a request that runs.
struct Place<'a>(&'a AtomicUsize);

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
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
            room: Mutex::default(),
            running: AtomicUsize::new(0),
            brittle: Mutex::default(),
            answer_bytes: AtomicUsize::new(0),
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

    /// Sets the least length of the bodies of all later answers that are no streams.
    pub fn set_answer_bytes(&self, bytes: usize) {
        self.shared.answer_bytes.store(bytes, Ordering::Relaxed);
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

    /// Sets how many requests it runs at once.
    pub fn set_room(&self, room: Option<usize>) {
        *self.shared.room.lock().unwrap() = room;
    }

    /// Makes it say that it is brittle: it crashes once it turns more than `limit` requests away
    /// in a second.
    pub fn set_brittle(&self, limit: Option<usize>) {
        *self.shared.brittle.lock().unwrap() = limit;
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
    while let Some(request) = HandledRequest::read(&mut stream).await? {
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
        let text = refusal(&id, "421 Misdirected Request", &stated);
        writer.write_all(text.as_bytes()).await?;
        return Ok(NextStep::KeepOpen);
    }
    let place = shared.take_place();
    if behaviour == ServerBehaviour::Shed || place.is_none() {
        shared.turned_away.lock().unwrap().push(request.at);
        let delay = shared.delay_asked.lock().unwrap().clone();
        let delay = delay.map(|it| format!("retry-after: {it}\r\n")).unwrap_or_default();
        let text = refusal(&id, "503 Service Unavailable", &format!("{stated}{delay}"));
        writer.write_all(text.as_bytes()).await?;
        if shared.has_fallen() {
            shared.crashed.notify_one();
        }
        return Ok(NextStep::KeepOpen);
    }
    let after = request.header("last-event-id").and_then(|it| it.parse().ok()).unwrap_or(0);
    let stream = request.line.contains("stream");
    let is_fatal = match behaviour {
        ServerBehaviour::Crash => true,
        ServerBehaviour::CrashOnPart(part) => request.has_part(part),
        _ => false,
    };
    let mut body = format!("{} of {}", request.line.trim(), shared.id);
    let fill = shared.answer_bytes.load(Ordering::Relaxed).saturating_sub(body.len());
    body.push_str(&" ".repeat(fill));
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
        return write_without_end(writer, piece, &shared.endless_bytes).await;
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
