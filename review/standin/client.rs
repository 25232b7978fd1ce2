//! Stand-in of a client: one attempt on a connection of its own.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

use crate::http::{Head, read_chunk, read_head};

/// Limit on establishing a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

#[derive(Debug, Clone)]
pub struct Attempt {
    pub router: SocketAddr,
    pub id: String,
    pub path: String,
    pub deadline: Duration,
    /// Last event that the client has of the stream, and the attempt that brought its first event.
    pub resumes: Option<(u64, String)>,
    pub body: Arc<[u8]>,
    /// Bytes a second that the client's link takes; absent if it is fast.
    pub rate: Option<usize>,
    pub key: &'static str,
}

/// An event that the client got.
#[derive(Debug, Clone)]
pub struct Event {
    pub number: u64,
    pub version: String,
}

#[derive(Debug, Default)]
pub struct Outcome {
    pub status: Option<u16>,
    pub retry_after: Option<Duration>,
    pub events: Vec<Event>,
    /// Bytes of the body that have come, where it is no stream, and the length that it announces.
    pub body: (usize, usize),
    /// The answer came to its end.
    pub complete: bool,
    /// Why it did not.
    pub error: String,
}

impl Outcome {
    pub fn text(&self) -> String {
        let status = self.status.map_or("none".to_owned(), |it| it.to_string());
        let numbers = match (self.events.first(), self.events.last()) {
            (Some(a), Some(b)) => format!(", events {} to {}", a.number, b.number),
            _ => String::new(),
        };
        let (got, all) = self.body;
        let numbers = if all > 0 { format!(", {got} of {all} bytes") } else { numbers };
        let end = if self.complete { "complete" } else { self.error.as_str() };
        format!("status {status}{numbers}, {end}")
    }
}

impl Attempt {
    pub fn send(&self) -> Outcome {
        let mut outcome = Outcome::default();
        match self.exchange(&mut outcome) {
            Ok(()) => outcome.complete = true,
            Err(e) => outcome.error = e.to_string(),
        }
        outcome
    }

    fn exchange(&self, outcome: &mut Outcome) -> io::Result<()> {
        let until = Instant::now() + self.deadline;
        let stream = match self.rate {
            None => TcpStream::connect_timeout(&self.router, CONNECT_LIMIT)?,
            Some(_) => connect_slow(self.router)?,
        };
        stream.set_nodelay(true)?;
        let mut stream = BufReader::new(stream);
        stream.get_mut().write_all(&self.head())?;
        stream.get_mut().write_all(&self.body)?;
        let head = self.within(until, &mut stream, |it| read_head(it))?;
        let head = head.ok_or(io::ErrorKind::UnexpectedEof)?;
        outcome.status = head.status();
        outcome.retry_after = retry_after(&head);
        if !head.is_chunked() {
            return self.read_body(until, &mut stream, &head, outcome);
        }
        let mut partial = String::new();
        loop {
            let chunk = self.within(until, &mut stream, |it| read_chunk(it))?;
            if chunk.is_empty() {
                return Ok(());
            }
            partial.push_str(&String::from_utf8_lossy(&chunk));
            while let Some((event, rest)) = partial.split_once("\n\n") {
                outcome.events.extend(parse(event));
                partial = rest.to_owned();
            }
        }
    }

    /// Reads a body at the rate of the client's link.
    fn read_body(
        &self,
        until: Instant,
        stream: &mut BufReader<TcpStream>,
        head: &Head,
        outcome: &mut Outcome,
    ) -> io::Result<()> {
        outcome.body.1 = head.get("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
        let mut buffer = vec![0; 4 * 1024];
        while outcome.body.0 < outcome.body.1 {
            let part = buffer.len().min(outcome.body.1 - outcome.body.0);
            let read = self.within(until, stream, |it| it.read(&mut buffer[..part]))?;
            if read == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            outcome.body.0 += read;
            if let Some(rate) = self.rate {
                sleep(Duration::from_secs_f64(read as f64 / rate as f64));
            }
        }
        Ok(())
    }

    fn within<T>(
        &self,
        until: Instant,
        stream: &mut BufReader<TcpStream>,
        read: impl FnOnce(&mut BufReader<TcpStream>) -> io::Result<T>,
    ) -> io::Result<T> {
        let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
        stream.get_ref().set_read_timeout(Some(left))?;
        read(stream)
    }

    fn head(&self) -> Vec<u8> {
        let mut text = format!(
            "POST {} HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: {}\r\nModel: m\r\n\
             Token-Counts: 540,400\r\nPrompt-Prefix: {:x}:500,{:x}:40\r\nDeadline-Ms: {}\r\n\
             Authorization: Token {}\r\nContent-Length: {}\r\n",
            self.path,
            self.id,
            hash(&self.id),
            hash(&self.id) ^ 1,
            self.deadline.as_millis(),
            self.key,
            self.body.len()
        );
        if let Some((last, first)) = &self.resumes {
            text.push_str(&format!("Last-Event-Id: {last}\r\nResumes: {first}\r\n"));
        }
        text.push_str("\r\n");
        text.into_bytes()
    }
}

/// Connects over a link with segments of the usual size and a small window, as the platform's links
/// have; loopback would take megabytes at once.
fn connect_slow(to: SocketAddr) -> io::Result<TcpStream> {
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = Address {
        family: AF_INET as u16,
        port: to.port().to_be(),
        ip: u32::from(*to.ip()).to_be(),
        rest: [0; 8],
    };
    let (segment, window): (i32, i32) = (1_400, 64 * 1024);
    // SAFETY: the calls get a socket that was just opened, and values that live through them; the
    // socket is owned by the stream from then on.
    unsafe {
        let socket = socket(AF_INET, SOCK_STREAM, 0);
        if socket < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(socket);
        setsockopt(socket, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &window, 4);
        match connect(socket, &address, 16) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}

/// `sockaddr_in` of the C library.
#[repr(C)]
struct Address {
    family: u16,
    port: u16,
    ip: u32,
    rest: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const Address, length: u32) -> i32;
}

/// Prompts differ, so that requests spread over all servers.
fn hash(text: &str) -> u64 {
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |sum, it| (sum ^ u64::from(it)).wrapping_mul(0x0100_0000_01b3))
}

fn retry_after(head: &Head) -> Option<Duration> {
    let seconds = head.get("retry-after")?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}

fn parse(event: &str) -> Option<Event> {
    let field = |name: &str| event.lines().find_map(|it| it.strip_prefix(name));
    let number = field("id: ")?.parse().ok()?;
    let version = field("data: ")?.split(' ').next()?.to_owned();
    Some(Event { number, version })
}
