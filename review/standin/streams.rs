//! Clients that read a stream to its end, over several attempts if need be.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::mpsc::{Receiver, channel};
use std::thread::{self, sleep};
use std::time::{Duration, Instant};

use crate::client::{Attempt, Event, Outcome};
use crate::record::Record;

/// How a client goes on after an attempt that did not complete the stream.
#[derive(Debug, Clone)]
pub struct Patience {
    /// Attempts after the first one, at most.
    pub retries: usize,
    /// Pause before each, if the answer names none.
    pub pause: Duration,
}

/// One attempt of a client, and when it was sent.
#[derive(Debug)]
pub struct Tried {
    pub sent: Instant,
    pub outcome: Outcome,
    /// It takes the stream up, as events had come before.
    pub takes_up: bool,
}

/// All attempts of a client at one stream.
#[derive(Debug)]
pub struct Chat {
    pub name: String,
    pub attempts: Vec<Tried>,
}

impl Chat {
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.attempts.iter().flat_map(|it| it.outcome.events.iter())
    }

    /// The software versions whose events the client has, in order.
    pub fn versions(&self) -> Vec<&str> {
        let mut all: Vec<&str> = self.events().map(|it| it.version.as_str()).collect();
        all.dedup();
        all
    }

    pub fn is_complete(&self) -> bool {
        self.attempts.last().is_some_and(|it| it.outcome.complete && it.outcome.status == Some(200))
    }
}

/// Starts a client; it sends its first attempt to the first of `routers`, the others in turn.
pub fn start_chat(
    name: String,
    routers: Vec<SocketAddr>,
    deadline: Duration,
    patience: Patience,
    record: &Record,
) -> Receiver<Chat> {
    let (sender, receiver) = channel();
    let record = record.clone();
    thread::spawn(move || {
        let _ = sender.send(chat(name, &routers, deadline, &patience, &record));
    });
    receiver
}

fn chat(
    name: String,
    routers: &[SocketAddr],
    deadline: Duration,
    patience: &Patience,
    record: &Record,
) -> Chat {
    let until = Instant::now() + deadline;
    let mut chat = Chat { name, attempts: Vec::new() };
    // Last event, and the attempt that brought the first one.
    let mut resumes: Option<(u64, String)> = None;
    for number in 0..=patience.retries {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(100) {
            break;
        }
        let id = format!("{}-{number}", chat.name);
        let attempt = Attempt {
            router: routers[number % routers.len()],
            id: id.clone(),
            path: "/stream/x".to_owned(),
            deadline: left,
            resumes: resumes.clone(),
            body: Arc::from(*b"words"),
            rate: None,
            key: "key-1",
        };
        let after =
            resumes.as_ref().map(|(last, first)| format!(", after event {last} of {first}"));
        record.line(format!("client sends {id}{}", after.unwrap_or_default()));
        let sent = Instant::now();
        let outcome = attempt.send();
        record.line(format!("client has {id}: {}", outcome.text()));
        let takes_up = resumes.is_some();
        if let Some(last) = outcome.events.last() {
            let first = resumes.map_or(id.clone(), |it| it.1);
            resumes = Some((last.number, first));
        }
        let is_done = outcome.complete && outcome.status == Some(200);
        let left = until.saturating_duration_since(Instant::now());
        let pause =
            outcome.retry_after.map_or(patience.pause, |it| it.min(left / 3).max(patience.pause));
        chat.attempts.push(Tried { sent, outcome, takes_up });
        if is_done {
            break;
        }
        sleep(pause.min(left));
    }
    chat
}
