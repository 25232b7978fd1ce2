//! Loggers for the log output.

use std::io::Write;
use std::str::FromStr;

use slog::{Discard, Drain, Logger, Never, OwnedKV, SendSyncRefUnwindSafeKV, o};
use slog_async::{Async, AsyncBuilder, AsyncGuard};

/// Limit of log lines that wait to be written; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 2_048;

key! {
    /// Format of log lines.
    pub enum LogFormat {
        /// Human-readable text.
        Text,
        /// One JSON object per line.
        Json,
    }
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<LogFormat, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("unknown log format `{text}`; expected `text` or `json`")),
        }
    }
}

/// A logger to standard error that never blocks its callers, and a guard that writes
/// the lines still queued when it is dropped.
pub fn root_logger(format: LogFormat, instance: &str) -> (Logger, AsyncGuard) {
    let values = o!("instance" => instance.to_owned());
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            build_logger(Async::new(drain), values)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            build_logger(Async::new(drain), values)
        }
    }
}

/// A logger of JSON lines to standard output that never blocks its callers: lines that
/// do not fit in the queue are dropped, and their number is logged later.
pub fn json_logger(instance: &str) -> (Logger, AsyncGuard) {
    json_logger_to(std::io::stdout(), instance)
}

/// Like [`json_logger`], but writes to `out`.
pub fn json_logger_to(out: impl Write + Send + 'static, instance: &str) -> (Logger, AsyncGuard) {
    let drain = slog_json::Json::default(out).fuse();
    let queue = Async::new(drain).chan_size(MAX_QUEUED_LINES);
    build_logger(queue, o!("instance" => instance.to_owned()))
}

fn build_logger<T: SendSyncRefUnwindSafeKV + 'static>(
    queue: AsyncBuilder<impl Drain<Ok = (), Err = Never> + Send + 'static>,
    values: OwnedKV<T>,
) -> (Logger, AsyncGuard) {
    let (drain, guard) = queue.build_with_guard();
    (Logger::root(drain.fuse(), values), guard)
}

/// A logger that writes nothing.
pub fn discard_logger() -> Logger {
    Logger::root(Discard, o!())
}
