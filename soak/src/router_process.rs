//! A router that runs as a separate process.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, BufReader, Lines};
use tokio::process::{Child, ChildStdout, Command};
use tokio::time::timeout;

/// Maximum time for a router to start.
const START_TIME: Duration = Duration::from_secs(20);
/// Maximum time for a router to end after SIGTERM: its grace period and a margin for a busy
/// machine.
const END_TIME: Duration = Duration::from_secs(14);

/// A running router; it is killed when dropped.
#[derive(Debug)]
pub struct RouterProcess {
    child: Child,
    /// Address for requests of callers.
    pub callers: SocketAddr,
    /// Address at which callers resolve routers.
    pub entry: SocketAddr,
    /// Time of its last fault or its start.
    pub last_fault: Instant,
    /// Whether it is stopped until SIGCONT.
    pub is_paused: bool,
    /// Lines of standard error, to which routers write only panics.
    errors: Arc<Mutex<Vec<String>>>,
}

impl RouterProcess {
    /// Starts `program` with the settings at `path`; its log is written to `log`.
    ///
    /// # Errors
    /// Fails when it does not start or its log does not report its addresses.
    pub async fn start(program: &Path, path: &Path, log: PathBuf) -> io::Result<RouterProcess> {
        let mut child = Command::new(program)
            .arg(path)
            .stdout(Stdio::piped())
            .stderr(Stdio::piped())
            .kill_on_drop(true)
            .spawn()?;
        let out = child.stdout.take().expect("standard output is piped");
        let err = child.stderr.take().expect("standard error is piped");
        let errors = Arc::new(Mutex::new(Vec::new()));
        let all = Arc::clone(&errors);
        tokio::spawn(async move {
            let mut lines = BufReader::new(err).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                all.lock().unwrap().push(line);
            }
        });
        let mut lines = BufReader::new(out).lines();
        let started = timeout(START_TIME, read_started(&mut lines)).await;
        let started = started.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let address = |name: &str| {
            let text = started[name].as_str().unwrap_or_default();
            text.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))
        };
        let (callers, entry) = (address("callers")?, address("entry")?);
        tokio::spawn(write_log(lines, log));
        Ok(RouterProcess {
            child,
            callers,
            entry,
            last_fault: Instant::now(),
            is_paused: false,
            errors,
        })
    }

    /// Sends a signal.
    pub fn signal(&mut self, signal: Signal) {
        self.last_fault = Instant::now();
        self.is_paused = signal == Signal::SIGSTOP || (self.is_paused && signal != Signal::SIGCONT);
        if let Some(id) = self.child.id() {
            // A process that has already ended is reported by `ended`.
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// Exit status, once the process has ended.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end after SIGTERM or SIGKILL; `None` when it does not end in time.
    pub async fn wait(&mut self) -> Option<ExitStatus> {
        timeout(END_TIME, self.child.wait()).await.ok()?.ok()
    }

    /// Lines that it wrote to standard error.
    pub fn errors(&self) -> Vec<String> {
        self.errors.lock().unwrap().clone()
    }
}

async fn read_started(lines: &mut Lines<BufReader<ChildStdout>>) -> io::Result<Value> {
    while let Some(line) = lines.next_line().await? {
        let value: Value = serde_json::from_str(&line)?;
        if value["msg"] == "started" {
            return Ok(value);
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

async fn write_log(mut lines: Lines<BufReader<ChildStdout>>, path: PathBuf) {
    let mut text = String::new();
    while let Ok(Some(line)) = lines.next_line().await {
        text.push_str(&line);
        text.push('\n');
    }
    if let Err(e) = tokio::fs::write(&path, text).await {
        eprintln!("log {} cannot be written: {e}", path.display());
    }
}
