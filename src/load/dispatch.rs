//! Sends the requests of a schedule when they are due.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::sync::Semaphore;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until, timeout};

use crate::demo::Caller;
use crate::load::request::{Chat, reserve};
use crate::load::{
    Kind, LoadOptions, LoadStats, OptionsError, RequestOutcome, Schedule, ScheduledRequest,
};

/// State that the requests of a run share.
struct Run {
    options: LoadOptions,
    http: reqwest::Client,
    start: Instant,
    /// Chats without a request in flight, by organisation.
    idle_chats: Vec<Mutex<Vec<Chat>>>,
    permits: Arc<Semaphore>,
    stats: Mutex<LoadStats>,
}

/// Sends the load and waits for all answers: at most `time` plus `request_timeout` in all.
///
/// # Errors
/// Fails when the options are invalid.
pub async fn run(options: &LoadOptions) -> Result<LoadStats, OptionsError> {
    options.check()?;
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.map_err(|e| OptionsError { fault: format!("cannot set up HTTP: {e}") })?;
    let run = Arc::new(Run {
        http,
        start: Instant::now(),
        idle_chats: (0..options.organisations).map(|_| Mutex::default()).collect(),
        permits: Arc::new(Semaphore::new(options.max_in_flight)),
        stats: Mutex::default(),
        options: options.clone(),
    });
    let mut tasks = JoinSet::new();
    for (index, scheduled) in Schedule::new(options).enumerate() {
        sleep_until(run.start + scheduled.at).await;
        let Ok(permit) = Arc::clone(&run.permits).try_acquire_owned() else {
            let fault = "too many requests in flight";
            run.stats().add(
                scheduled.kind,
                scheduled.at,
                Duration::ZERO,
                RequestOutcome::NotSent,
                fault,
            );
            continue;
        };
        let run = Arc::clone(&run);
        tasks.spawn(async move {
            run.send(index, &scheduled).await;
            drop(permit);
        });
        while tasks.try_join_next().is_some() {}
    }
    while tasks.join_next().await.is_some() {}
    let stats = run.stats().clone();
    Ok(stats)
}

impl Run {
    fn stats(&self) -> std::sync::MutexGuard<'_, LoadStats> {
        self.stats.lock().unwrap()
    }

    /// Sends one request and records its outcome.
    async fn send(&self, index: usize, scheduled: &ScheduledRequest) {
        let due = self.start + scheduled.at;
        let call = async {
            match scheduled.kind {
                Kind::Once | Kind::Issued => {
                    let organisation = organisation(scheduled);
                    let caller = Caller::new(&self.http, &organisation, &format!("once-{index}"));
                    reserve(&caller, &self.options, scheduled).await
                }
                Kind::Whole | Kind::Stream => {
                    let mut chat = self.take_chat(index, scheduled);
                    let result = chat.send_turn(&self.options, scheduled).await;
                    self.idle_chats[scheduled.organisation].lock().unwrap().push(chat);
                    result
                }
            }
        };
        let result = timeout(self.options.request_timeout, call).await;
        let result =
            result.unwrap_or_else(|_| Err("no answer before the request timeout".to_owned()));
        let (outcome, fault) = match &result {
            Ok(()) => (RequestOutcome::Good, ""),
            Err(fault) => (RequestOutcome::of(fault), fault.as_str()),
        };
        self.stats().add(scheduled.kind, scheduled.at, due.elapsed(), outcome, fault);
    }

    /// An idle chat if the request continues one, else a new chat.
    fn take_chat(&self, index: usize, scheduled: &ScheduledRequest) -> Chat {
        let mut idle_chats = self.idle_chats[scheduled.organisation].lock().unwrap();
        if scheduled.returning && !idle_chats.is_empty() {
            let chosen = scheduled.random as usize % idle_chats.len();
            return idle_chats.swap_remove(chosen);
        }
        let name = format!("load-{}-{index}", self.options.seed);
        Chat::new(&self.http, &organisation(scheduled), &name)
    }
}

/// Name of the organisation of a request.
fn organisation(scheduled: &ScheduledRequest) -> String {
    format!("organisation-{}", scheduled.organisation)
}
