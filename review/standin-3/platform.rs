//! Stand-ins of the platform's store and of workers, a client, and the routers as processes.
//! Standard library only.

use std::collections::{BTreeMap, HashMap};
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const HOST: &str = "calls.example";
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// What was sent, answered and run, with the time since the start.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Record> {
        let file = Arc::new(Mutex::new(File::create(path)?));
        Ok(Record { began: Instant::now(), file })
    }

    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:8.3} {text}");
    }
}

/// A request or an answer: first line, headers with names in lower case, body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Reads a message with a length, in chunks, or without a body; `None` at the end of the
    /// connection.
    pub fn read(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
        let mut message = Message::default();
        if reader.read_line(&mut message.line)? == 0 {
            return Ok(None);
        }
        message.line = message.line.trim_end().to_owned();
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let Some((name, value)) = line.trim_end().split_once(':') else { break };
            message.headers.push((name.to_lowercase(), value.trim().to_owned()));
        }
        if message.header("transfer-encoding").is_some() {
            read_chunks(reader, &mut message.body)?;
        } else if let Some(length) = message.header("content-length") {
            let length = length.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            message.body = vec![0; length];
            reader.read_exact(&mut message.body)?;
        }
        Ok(Some(message))
    }

    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0)
    }
}

fn read_chunks(reader: &mut impl BufRead, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16)
            .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// The store: logs of keyed records with one partition each.
#[derive(Clone, Default)]
struct Topic {
    records: Vec<(String, Vec<u8>)>,
}

impl Topic {
    fn newest(&self) -> BTreeMap<String, (Vec<u8>, usize)> {
        let mut all = BTreeMap::new();
        for (at, (key, value)) in self.records.iter().enumerate() {
            if value.is_empty() {
                all.remove(key);
            } else {
                all.insert(key.clone(), (value.clone(), at));
            }
        }
        all
    }
}

/// All that a store holds.
#[derive(Clone, Default)]
pub struct Copy(HashMap<String, Topic>);

struct StoreState {
    topics: HashMap<String, Topic>,
    era: u64,
    is_up: bool,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<(Mutex<StoreState>, Condvar)>,
}

impl Store {
    pub fn start() -> io::Result<Store> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = StoreState { topics: HashMap::new(), era: 1, is_up: true };
        let store = Store { address, state: Arc::new((Mutex::new(state), Condvar::new())) };
        let it = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let it = it.clone();
                thread::spawn(move || it.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes the newest value of a key; an empty one drops the key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.to_owned(), value.to_vec()));
        self.state.1.notify_all();
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state.0.lock().unwrap().topics.clone())
    }

    /// Refuses all calls with 503 while it is away.
    pub fn set_up(&self, is_up: bool) {
        self.state.0.lock().unwrap().is_up = is_up;
        self.state.1.notify_all();
    }

    /// Comes back from a copy.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.state.0.lock().unwrap();
        state.topics = copy.0.clone();
        state.era += 1;
        state.is_up = true;
        self.state.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket can be cloned");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let (status, body) = self.answer(&request);
            let era = self.state.0.lock().unwrap().era;
            let head = format!(
                "HTTP/1.1 {status} X\r\nContent-Length: {}\r\nStore-Era: {era}\r\n\r\n",
                body.len()
            );
            if writer.write_all(&[head.as_bytes(), &body].concat()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message) -> (u16, Vec<u8>) {
        let target = request.line.split(' ').nth(1).unwrap_or_default();
        let (call, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, &str> =
            query.split('&').filter_map(|it| it.split_once('=')).collect();
        let name = query.get("topic").copied().unwrap_or_default().to_owned();
        let number = |key: &str| query.get(key).and_then(|it| it.parse::<u64>().ok());
        if !self.state.0.lock().unwrap().is_up {
            return (503, Vec::new());
        }
        match call {
            "/log-append" => self.append(&name, number("at"), &request.body),
            "/log-read" => {
                let wait = Duration::from_millis(number("waitMs").unwrap_or(0));
                self.read(&name, number("from").unwrap_or(0) as usize, wait)
            }
            "/log-newest" => self.newest(&name, query.get("after").copied().unwrap_or_default()),
            _ => (404, Vec::new()),
        }
    }

    fn append(&self, name: &str, at: Option<u64>, body: &[u8]) -> (u16, Vec<u8>) {
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let offset = topic.records.len() as u64;
        if at.is_some_and(|it| it != offset) {
            return (412, format!("{{\"end\":{offset}}}").into_bytes());
        }
        let mut rest = body;
        while let Some((length, tail)) = rest.split_first_chunk::<4>() {
            let (record, tail) = tail.split_at(u32::from_be_bytes(*length) as usize);
            let (key, value) = record[1..].split_at(usize::from(record[0]));
            topic.records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            rest = tail;
        }
        let end = topic.records.len();
        self.state.1.notify_all();
        (200, format!("{{\"offset\":{offset},\"end\":{end}}}").into_bytes())
    }

    fn read(&self, name: &str, from: usize, wait: Duration) -> (u16, Vec<u8>) {
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if !state.is_up {
                return (503, Vec::new());
            }
            let topic = state.topics.entry(name.to_owned()).or_default();
            let end = topic.records.len();
            if from > end {
                return (410, b"{\"first\":0}".to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                let mut body = [(end as u64).to_be_bytes(), [0; 8]].concat();
                for (key, value) in &topic.records[from..] {
                    let length = (1 + key.len() + value.len()) as u32;
                    body.extend(length.to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, name: &str, after: &str) -> (u16, Vec<u8>) {
        let mut state = self.state.0.lock().unwrap();
        let topic = state.topics.entry(name.to_owned()).or_default();
        let newest = topic.newest();
        let entries: Vec<String> = newest
            .iter()
            .filter(|(key, _)| key.as_str() > after)
            .map(|(key, (value, at))| {
                format!("{{\"key\":\"{key}\",\"value\":\"{}\",\"offset\":{at}}}", base64(value))
            })
            .collect();
        let end = topic.records.len();
        let body =
            format!("{{\"entries\":[{}],\"hasMore\":false,\"end\":{end}}}", entries.join(","));
        (200, body.into_bytes())
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut word = [0; 3];
        word[..group.len()].copy_from_slice(group);
        let word = u32::from_be_bytes([0, word[0], word[1], word[2]]);
        for place in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * place)) as usize & 63] as char;
            text.push(if place <= group.len() { digit } else { '=' });
        }
    }
    text
}

/// A request that a worker ran.
#[derive(Clone, Debug)]
pub struct Run {
    pub at: Instant,
    pub request: Message,
}

impl Run {
    pub fn id(&self) -> &str {
        self.request.header("request-id").unwrap_or_default()
    }
}

/// How a worker answers, given the request and the connection.
pub type Behaviour = Arc<dyn Fn(&Worker, &Message, &mut TcpStream) -> io::Result<()> + Send + Sync>;

#[derive(Clone)]
pub struct Worker {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub runs: Arc<Mutex<Vec<Run>>>,
    pub record: Record,
}

impl Worker {
    /// A worker on a free port.
    pub fn start(
        id: &str,
        service: &str,
        record: &Record,
        behave: Behaviour,
    ) -> io::Result<Worker> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let worker = Worker {
            id: id.to_owned(),
            address: listener.local_addr()?,
            service: service.to_owned(),
            runs: Arc::default(),
            record: record.clone(),
        };
        let it = worker.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (it, behave) = (it.clone(), Arc::clone(&behave));
                thread::spawn(move || it.serve(stream, &behave));
            }
        });
        Ok(worker)
    }

    fn serve(&self, stream: TcpStream, behave: &Behaviour) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("a socket can be cloned");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = Message::read(&mut reader) {
            let is_other = request.header("expect-instance").is_some_and(|it| it != self.id);
            let result = if is_other {
                let id = request.header("request-id").unwrap_or_default();
                let text = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: {id}\r\nNot-Run: 1\r\n\
                     Instance-Id: {}\r\nContent-Length: 0\r\n\r\n",
                    self.id
                );
                writer.write_all(text.as_bytes())
            } else {
                behave(self, &request, &mut writer)
            };
            if result.is_err() {
                return;
            }
        }
    }

    /// Notes that the worker begins to work on a request.
    pub fn run(&self, request: &Message) {
        let id = request.header("request-id").unwrap_or_default();
        let tenant = request.header("tenant").unwrap_or_default();
        self.record.line(&format!("{} runs {id} (tenant {tenant}): {}", self.id, request.line));
        self.runs.lock().unwrap().push(Run { at: Instant::now(), request: request.clone() });
    }

    /// Runs a request and answers it.
    pub fn answer(&self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        self.run(request);
        let id = request.header("request-id").unwrap_or_default();
        let body = format!("answer of {} to {id}", self.id);
        let text = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Seal: seal-{id}\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes())
    }

    pub fn health(&self, request: &Message, stream: &mut TcpStream) -> Option<io::Result<()>> {
        let is_health = request.line.starts_with("GET /healthz ");
        let head =
            format!("HTTP/1.1 200 OK\r\nInstance-Id: {}\r\nContent-Length: 0\r\n\r\n", self.id);
        is_health.then(|| stream.write_all(head.as_bytes()))
    }

    /// Writes its entry in the store, now and with every heartbeat, for ever.
    pub fn register(&self, store: &Store) {
        let (it, store) = (self.clone(), store.clone());
        thread::spawn(move || {
            let born = unix_ms();
            for sequence in 1.. {
                it.put_entry(&store, "ready", born, sequence);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    pub fn put_entry(&self, store: &Store, state: &str, born: u128, sequence: u64) {
        let entry = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"z-a\",\"version\":\"v1\",\
             \"slots\":16,\"state\":\"{state}\",\"coldRemainingMs\":0,\"sequence\":{sequence},\
             \"born\":{born}}}",
            self.service, self.address
        );
        // While the store is away its calls fail.
        if store.state.0.lock().unwrap().is_up {
            store.put("keyed.servers", &self.id, entry.as_bytes());
        }
    }
}

pub fn unix_ms() -> u128 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis()
}

/// A configuration with one tenant that holds `keys`.
pub fn config(version: u64, keys: &[&str]) -> String {
    let route = |prefix: &str, kind: &str, attempts: u32, resume: bool, timeout_ms: u32| {
        format!(
            "{{\"name\":\"r{}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
             \"routeType\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":300,\"priority\":1,\
             \"service\":\"pool\",\"maxAttempts\":{attempts},\"public\":false,\
             \"sessionAffinity\":false,\"streamResume\":{resume},\"gapAimMs\":300}}",
            prefix.replace('/', "-")
        )
    };
    let keys: Vec<String> = keys.iter().map(|it| format!("\"{it}\"")).collect();
    format!(
        "{{\"version\":{version},\"routes\":[{},{},{}],\"services\":[{{\"name\":\"pool\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":300,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"t-1\",\"apiKeys\":[{}],\
         \"priority\":1}}]}}",
        route("/read/", "idempotent", 2, false, 4_000),
        route("/once/", "non_idempotent", 1, false, 4_000),
        route("/stream/", "streaming", 2, true, 10_000),
        keys.join(",")
    )
}

/// Ports of a router.
const ROUTER_PORTS: usize = 5;
/// Ports below those that the system gives to outgoing connections, so that none of them takes a
/// port while its router is down.
const FIRST_PORT: u16 = 20_000;
const LAST_PORT: u16 = 32_000;
/// Where the search for the next free port begins.
static NEXT_PORT: AtomicU16 = AtomicU16::new(0);

/// Free addresses, none of them given out before by this process.
fn free_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let all = LAST_PORT - FIRST_PORT;
    let first = (std::process::id() * 37 % u32::from(all)) as u16;
    let mut found = Vec::new();
    for _ in 0..all {
        let port = FIRST_PORT + (first + NEXT_PORT.fetch_add(1, Ordering::Relaxed)) % all;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        if TcpListener::bind(address).is_ok() {
            found.push(address);
        }
        if found.len() == count {
            return Ok(found);
        }
    }
    Err(io::Error::other("no free ports"))
}

/// A router process with the command of the deploy file.
pub struct Router {
    pub name: String,
    pub callers: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Option<Child>,
    record: Record,
}

impl Router {
    /// Settings with free ports for a router of the given name; not started yet.
    pub fn new(folder: &Path, name: &str, store: &Store, record: &Record) -> io::Result<Router> {
        let at = free_addresses(ROUTER_PORTS)?;
        let text = format!(
            "nodeName={name}\nrole=router\nmachineClass=frontend\nserves=frontend,directory\n\
             ip=127.0.0.1\nzone=z-a\nregion=z\nzones.z-a=z\nlistenAddrs.frontend={}\n\
             listenAddrs.ready={}\nlistenAddrs.directory={}\ninternalPorts={},{}\nbootstrap=true\n\
             limits.cpuShare=0.5\nlimits.cores=1\nlimits.memoryMb=520\nlimits.maxFds=8200\n\
             discovery=platform\nentryMode=directory\nheartbeatMs=1200\nbounds.seedLagS=3\n\
             bounds.addrReuseS=2\nbounds.contactMs=3000\nbounds.ackMs=4000\nbounds.catchUpS=4\n\
             bounds.drainMs=2000\nbounds.graceS=8\nbounds.lossSlackMs=200\n\
             bounds.configApplyMs=2000\nbounds.downgradeSlackMs=250\nbounds.maxStretchMs=5000\n\
             bounds.strictRevocation=true\nbounds.revokeMs=5000\nbounds.retryBudgetRatio=0.2\n\
             bounds.budgetWindowS=10\nbounds.retrySlack=58\nbounds.recoveryS=12\n\
             bounds.passMs=120\nbounds.reuseWindowS=10\nbounds.capX=2\nbounds.ttl_max_s=5\n\
             provider.address={}\nprovider.form=log\n",
            at[0],
            at[1],
            at[2],
            at[3].port(),
            at[4].port(),
            store.address
        );
        let settings = folder.join(format!("{name}.conf"));
        fs::write(&settings, text)?;
        Ok(Router {
            name: name.to_owned(),
            callers: at[0],
            ready: at[1],
            settings,
            child: None,
            record: record.clone(),
        })
    }

    pub fn start(&mut self) -> io::Result<()> {
        let log = File::create(self.settings.with_extension("log"))?;
        let child = Command::new("target/release/filberttiller-platform")
            .env("FILBERTTILLER_SETTINGS", &self.settings)
            .stdout(Stdio::from(log.try_clone()?))
            .stderr(Stdio::from(log))
            .spawn()?;
        self.record.line(&format!("{} starts at {}", self.name, self.callers));
        self.child = Some(child);
        Ok(())
    }

    /// Whether the platform's check gets a 200.
    pub fn is_ready(&self) -> bool {
        let request = format!("GET /ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        let answer = exchange(self.ready, request.as_bytes(), Duration::from_millis(500));
        answer.is_ok_and(|it| it.is_some_and(|it| it.status() == 200))
    }

    pub fn until_ready(&self, time: Duration) -> bool {
        let until = Instant::now() + time;
        while Instant::now() < until {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(20));
        }
        false
    }

    /// Sends a signal by name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(child) = &self.child {
            self.record.line(&format!("{} gets SIG{name}", self.name));
            let _ =
                Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status();
        }
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// The status with which the process ended by itself, if it did.
    pub fn ended(&mut self) -> Option<String> {
        let child = self.child.as_mut()?;
        child.try_wait().ok()?.map(|it| it.to_string())
    }
}

impl Drop for Router {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Sends bytes on a new connection and reads one answer; `None` if the connection ends before.
pub fn exchange(to: SocketAddr, bytes: &[u8], time: Duration) -> io::Result<Option<Message>> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(time))?;
    stream.write_all(bytes)?;
    Message::read(&mut BufReader::new(stream))
}

/// The bytes of a client's request.
pub fn request(
    method: &str,
    path: &str,
    id: &str,
    key: &str,
    deadline_ms: u64,
    body: &str,
) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {id}\r\nDeadline-Ms: {deadline_ms}\r\n\
         Authorization: Token {key}\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
    .into_bytes()
}

/// A temporary folder, removed when dropped unless `KEEP` is set.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn new(name: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// Whether the case is to show its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}
