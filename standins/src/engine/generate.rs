//! Generates one answer.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::engine::PrefixCache;
use crate::engine::answer::answer_token;
use crate::engine::engine::Core;
use crate::engine::feed::{End, Feed, Usage};
use crate::engine::job::Job;

/// Load of one job; counted in the engine's state until dropped.
struct LoadGuard {
    core: Arc<Core>,
    tokens: u64,
    running: bool,
}

impl LoadGuard {
    fn new(core: &Arc<Core>, tokens: u64) -> LoadGuard {
        let mut state = core.state();
        state.queued += 1;
        state.tokens += tokens;
        drop(state);
        LoadGuard { core: Arc::clone(core), tokens, running: false }
    }

    fn start(&mut self) {
        let mut state = self.core.state();
        state.queued -= 1;
        state.running += 1;
        drop(state);
        self.running = true;
    }

    fn finish_tokens(&mut self, tokens: u64) {
        let tokens = tokens.min(self.tokens);
        self.core.state().tokens -= tokens;
        self.tokens -= tokens;
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut state = self.core.state();
        state.tokens -= self.tokens;
        if self.running {
            state.running -= 1;
        } else {
            state.queued -= 1;
        }
    }
}

/// Starts the job and returns its feed, which stays resumable for the resume window.
pub(crate) fn start(core: &Arc<Core>, job: Job) -> Arc<Feed> {
    let feed = Arc::new(Feed::default());
    core.state().streams.insert(job.id.clone(), Arc::clone(&feed));
    let core = Arc::clone(core);
    let written = Arc::clone(&feed);
    tokio::spawn(async move {
        let id = job.id.clone();
        let end = generate(&core, job, &written).await;
        written.finish(end);
        sleep(core.options.resume_window).await;
        let mut state = core.state();
        if state.streams.get(&id).is_some_and(|it| Arc::ptr_eq(it, &written)) {
            state.streams.remove(&id);
        }
    });
    feed
}

async fn generate(core: &Arc<Core>, job: Job, feed: &Feed) -> End {
    let words: Vec<&str> = job.prompt.split_whitespace().collect();
    let chain = PrefixCache::chain(&job.model, &words);
    let total = words.len() as u64 + u64::from(job.tokens);
    let mut load = LoadGuard::new(core, total);
    let slot = core.slots.acquire(job.priority).await;
    load.start();
    core.count_run(&job.id);
    if crash_if_triggered(core, &job.prompt) {
        return End::Aborted;
    }
    let cached = core.state().cache.hits(&chain) * PrefixCache::BLOCK;
    feed.set_usage(Usage { prompt: words.len(), cached });
    load.finish_tokens(cached as u64);
    let missing = words.len().saturating_sub(cached);
    sleep(core.scaled_time(core.options.prefill * missing as u32)).await;
    load.finish_tokens(missing as u64);
    core.state().cache.store(&chain);
    let end = decode(core, &job, feed, &mut load).await;
    drop(slot);
    end
}

/// Crashes the engine if the prompt contains the text of the `crash_on` fault.
fn crash_if_triggered(core: &Arc<Core>, prompt: &str) -> bool {
    let outage = {
        let state = core.state();
        let Some(text) = &state.faults.crash_on else {
            return false;
        };
        if !prompt.contains(text.as_str()) {
            return false;
        }
        Duration::from_millis(state.faults.restart_ms)
    };
    core.crash(outage);
    true
}

async fn decode(core: &Arc<Core>, job: &Job, feed: &Feed, load: &mut LoadGuard) -> End {
    let mut unread_since = None;
    for i in 0..job.tokens {
        sleep(core.scaled_time(core.options.decode)).await;
        if feed.is_finished() {
            return End::Aborted;
        }
        if !feed.is_unread() {
            unread_since = None;
        } else if unread_since.get_or_insert_with(Instant::now).elapsed()
            > core.options.resume_window
        {
            return End::Aborted;
        }
        if core.state().faults.cut_after.is_some_and(|it| i >= it) {
            return End::Aborted;
        }
        feed.push(answer_token(&job.prompt, i));
        load.finish_tokens(1);
    }
    End::Complete
}
