//! Sends the requests of a schedule at their times.

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

/// What the requests of a run share.
struct Run {
    options: LoadOptions,
    http: reqwest::Client,
    start: Instant,
    /// Chats that wait for their next turn, by organisation.
    waiting: Vec<Mutex<Vec<Chat>>>,
    room: Arc<Semaphore>,
    stats: Mutex<LoadStats>,
}

/// Runs the load to its end, which comes at the latest `time` and `request_timeout`
/// after the start.
///
/// # Errors
/// Fails when the options are not allowed.
pub async fn run(options: &LoadOptions) -> Result<LoadStats, OptionsError> {
    options.check()?;
    let http = reqwest::Client::builder().no_proxy().build();
    let http = http.map_err(|e| OptionsError { fault: format!("cannot set up HTTP: {e}") })?;
    let run = Arc::new(Run {
        http,
        start: Instant::now(),
        waiting: (0..options.organisations).map(|_| Mutex::default()).collect(),
        room: Arc::new(Semaphore::new(options.max_in_flight)),
        stats: Mutex::default(),
        options: options.clone(),
    });
    let mut tasks = JoinSet::new();
    for (index, step) in Schedule::new(options).enumerate() {
        sleep_until(run.start + step.at).await;
        let Ok(room) = Arc::clone(&run.room).try_acquire_owned() else {
            let fault = "too many requests in flight";
            run.stats().add(step.kind, step.at, Duration::ZERO, RequestOutcome::NotSent, fault);
            continue;
        };
        let run = Arc::clone(&run);
        tasks.spawn(async move {
            run.carry(index, &step).await;
            drop(room);
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

    /// Carries one request out and counts it.
    async fn carry(&self, index: usize, step: &ScheduledRequest) {
        let due = self.start + step.at;
        let call = async {
            match step.kind {
                Kind::Once | Kind::Issued => {
                    let organisation = organisation(step);
                    let caller = Caller::new(&self.http, &organisation, &format!("once-{index}"));
                    reserve(&caller, &self.options, step).await
                }
                Kind::Whole | Kind::Stream => {
                    let mut chat = self.take(index, step);
                    let result = chat.turn(&self.options, step).await;
                    self.waiting[step.organisation].lock().unwrap().push(chat);
                    result
                }
            }
        };
        let result = timeout(self.options.request_timeout, call).await;
        let result = result.unwrap_or_else(|_| Err("no answer in time".to_owned()));
        let (outcome, fault) = match &result {
            Ok(()) => (RequestOutcome::Good, ""),
            Err(fault) => (RequestOutcome::of(fault), fault.as_str()),
        };
        self.stats().add(step.kind, step.at, due.elapsed(), outcome, fault);
    }

    /// A chat that waits for its next turn, or a new one.
    fn take(&self, index: usize, step: &ScheduledRequest) -> Chat {
        let mut waiting = self.waiting[step.organisation].lock().unwrap();
        if step.returning && !waiting.is_empty() {
            let pick = step.pick as usize % waiting.len();
            return waiting.swap_remove(pick);
        }
        let name = format!("load-{}-{index}", self.options.seed);
        Chat::new(&self.http, &organisation(step), &name)
    }
}

/// Name of the organisation of a request.
fn organisation(step: &ScheduledRequest) -> String {
    format!("organisation-{}", step.organisation)
}
