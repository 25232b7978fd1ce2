//! Tokens of one answer, written once and read by any number of readers.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// All tokens are there.
    Whole,
    /// Cut off by a fault, a cancel or a crash.
    Cut,
}

#[derive(Debug, Default)]
struct State {
    tokens: Vec<String>,
    usage: Usage,
    end: Option<End>,
}

/// Prompt tokens of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// All.
    pub(crate) prompt: usize,
    /// Found in the cache.
    pub(crate) cached: usize,
}

/// What a reader gets next.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Piece {
    /// Token with its index.
    Token(u32, String),
    /// The end, with the usage.
    End(End, Usage),
}

/// A growing answer.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    state: Mutex<State>,
    news: Notify,
    readers: AtomicUsize,
}

impl Feed {
    /// Notes the prompt tokens.
    pub(crate) fn set_usage(&self, usage: Usage) {
        self.state.lock().unwrap().usage = usage;
    }

    /// Appends one token.
    pub(crate) fn push(&self, token: String) {
        self.state.lock().unwrap().tokens.push(token);
        self.news.notify_waiters();
    }

    /// Ends the answer; the first end counts.
    pub(crate) fn finish(&self, end: End) {
        self.state.lock().unwrap().end.get_or_insert(end);
        self.news.notify_waiters();
    }

    /// Whether the answer has ended.
    pub(crate) fn is_finished(&self) -> bool {
        self.state.lock().unwrap().end.is_some()
    }

    /// Whether nobody reads at present.
    pub(crate) fn is_unread(&self) -> bool {
        self.readers.load(Ordering::SeqCst) == 0
    }

    /// Counts a reader in.
    pub(crate) fn enter(&self) {
        self.readers.fetch_add(1, Ordering::SeqCst);
    }

    /// Counts a reader out.
    pub(crate) fn leave(&self) {
        self.readers.fetch_sub(1, Ordering::SeqCst);
    }

    /// Waits for the piece after `index` tokens.
    pub(crate) async fn next(&self, index: usize) -> Piece {
        loop {
            let news = self.news.notified();
            tokio::pin!(news);
            news.as_mut().enable();
            {
                let state = self.state.lock().unwrap();
                if let Some(token) = state.tokens.get(index) {
                    return Piece::Token(index as u32, token.clone());
                }
                if let Some(end) = state.end {
                    return Piece::End(end, state.usage);
                }
            }
            news.await;
        }
    }
}
