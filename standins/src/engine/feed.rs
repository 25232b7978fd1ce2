//! Tokens of one answer: one writer, any number of concurrent readers.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::Notify;

/// How an answer ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// All tokens were written.
    Complete,
    /// Stopped early by a fault, a cancellation or a crash.
    Aborted,
}

#[derive(Debug, Default)]
struct State {
    tokens: Vec<String>,
    usage: Usage,
    end: Option<End>,
}

/// Prompt token counts of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Usage {
    /// All prompt tokens.
    pub(crate) prompt: usize,
    /// Prompt tokens found in the cache.
    pub(crate) cached: usize,
}

/// Next item of a reader.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Piece {
    /// A token with its index.
    Token(u32, String),
    /// The end, with the token counts.
    End(End, Usage),
}

/// An answer that is being written, or has ended.
#[derive(Debug, Default)]
pub(crate) struct Feed {
    state: Mutex<State>,
    changed: Notify,
    readers: AtomicUsize,
}

impl Feed {
    /// Sets the prompt token counts.
    pub(crate) fn set_usage(&self, usage: Usage) {
        self.state.lock().unwrap().usage = usage;
    }

    /// Appends one token.
    pub(crate) fn push(&self, token: String) {
        self.state.lock().unwrap().tokens.push(token);
        self.changed.notify_waiters();
    }

    /// Ends the answer; later calls have no effect.
    pub(crate) fn finish(&self, end: End) {
        self.state.lock().unwrap().end.get_or_insert(end);
        self.changed.notify_waiters();
    }

    /// Whether the answer has ended.
    pub(crate) fn is_finished(&self) -> bool {
        self.state.lock().unwrap().end.is_some()
    }

    /// Whether the answer has no reader.
    pub(crate) fn is_unread(&self) -> bool {
        self.readers.load(Ordering::SeqCst) == 0
    }

    /// Registers a reader.
    pub(crate) fn add_reader(&self) {
        self.readers.fetch_add(1, Ordering::SeqCst);
    }

    /// Unregisters a reader.
    pub(crate) fn remove_reader(&self) {
        self.readers.fetch_sub(1, Ordering::SeqCst);
    }

    /// Waits for the token at `index`, or for the end.
    pub(crate) async fn next(&self, index: usize) -> Piece {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            changed.as_mut().enable();
            {
                let state = self.state.lock().unwrap();
                if let Some(token) = state.tokens.get(index) {
                    return Piece::Token(index as u32, token.clone());
                }
                if let Some(end) = state.end {
                    return Piece::End(end, state.usage);
                }
            }
            changed.await;
        }
    }
}
