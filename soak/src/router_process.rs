//! One router as a process of its own.

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

/// Longest time for a router to start.
const START_TIME: Duration = Duration::from_secs(20);
/// Longest time for a router to end after SIGTERM: its grace and some time for a busy machine.
const END_TIME: Duration = Duration::from_secs(14);

/// A running router; it is killed when dropped.
#[derive(Debug)]
pub struct RouterProcess {
    child: Child,
    /// Where callers send requests.
    pub callers: SocketAddr,
    /// Where callers ask for addresses.
    pub entry: SocketAddr,
    /// When it was last harmed from outside, its start among this.
    pub harmed: Instant,
    /// It stands still until SIGCONT.
    pub paused: bool,
    /// Lines of standard error: only panics write there.
    errors: Arc<Mutex<Vec<String>>>,
}

impl RouterProcess {
    /// Starts `program` with the settings at `path`, and its log going to `log`.
    ///
    /// # Errors
    /// Fails when it does not start or does not say where it listens.
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
        let started = timeout(START_TIME, first_line(&mut lines)).await;
        let started = started.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let address = |name: &str| {
            let text = started[name].as_str().unwrap_or_default();
            text.parse().map_err(|_| io::Error::from(io::ErrorKind::InvalidData))
        };
        let (callers, entry) = (address("callers")?, address("entry")?);
        tokio::spawn(keep_log(lines, log));
        Ok(RouterProcess { child, callers, entry, harmed: Instant::now(), paused: false, errors })
    }

    /// Sends a signal.
    pub fn signal(&mut self, signal: Signal) {
        self.harmed = Instant::now();
        self.paused = signal == Signal::SIGSTOP || (self.paused && signal != Signal::SIGCONT);
        if let Some(id) = self.child.id() {
            // A process that has ended meanwhile is found by `ended`.
            let _ = kill(Pid::from_raw(id as i32), signal);
        }
    }

    /// How it ended, if it has.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Waits for its end after a signal to stop; none when it does not end in time.
    pub async fn wait(&mut self) -> Option<ExitStatus> {
        timeout(END_TIME, self.child.wait()).await.ok()?.ok()
    }

    /// What it wrote to standard error.
    pub fn errors(&self) -> Vec<String> {
        self.errors.lock().unwrap().clone()
    }
}

async fn first_line(lines: &mut Lines<BufReader<ChildStdout>>) -> io::Result<Value> {
    while let Some(line) = lines.next_line().await? {
        let value: Value = serde_json::from_str(&line)?;
        if value["msg"] == "started" {
            return Ok(value);
        }
    }
    Err(io::ErrorKind::UnexpectedEof.into())
}

async fn keep_log(mut lines: Lines<BufReader<ChildStdout>>, path: PathBuf) {
    let mut text = String::new();
    while let Ok(Some(line)) = lines.next_line().await {
        text.push_str(&line);
        text.push('\n');
    }
    if let Err(e) = tokio::fs::write(&path, text).await {
        eprintln!("the log {} cannot be kept: {e}", path.display());
    }
}
