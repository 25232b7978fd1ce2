//! Set-up of the log output.

use std::io::Write;
use std::str::FromStr;

use slog::{Discard, Drain, Logger, Never, OwnedKV, SendSyncRefUnwindSafeKV, o};
use slog_async::{Async, AsyncBuilder, AsyncGuard};

/// Log lines that wait to be written at most.
const QUEUED_LINES: usize = 2_048;

key! {
    /// Form of log lines.
    pub enum LogFormat {
        /// For people.
        Text,
        /// One JSON object a line.
        Json,
    }
}

impl FromStr for LogFormat {
    type Err = String;

    fn from_str(text: &str) -> Result<LogFormat, String> {
        match text {
            "text" => Ok(LogFormat::Text),
            "json" => Ok(LogFormat::Json),
            _ => Err(format!("`{text}` is no log format; `text` and `json` are")),
        }
    }
}

/// A logger to standard error that never blocks its callers, and a guard whose
/// drop writes what is still queued.
pub fn root_logger(format: LogFormat, instance: &str) -> (Logger, AsyncGuard) {
    let values = o!("instance" => instance.to_owned());
    match format {
        LogFormat::Text => {
            let decorator = slog_term::PlainDecorator::new(std::io::stderr());
            let drain = slog_term::FullFormat::new(decorator).build().fuse();
            rooted(Async::new(drain), values)
        }
        LogFormat::Json => {
            let drain = slog_json::Json::default(std::io::stderr()).fuse();
            rooted(Async::new(drain), values)
        }
    }
}

/// A logger of JSON lines to standard output that never blocks its callers: lines
/// that find no room are counted, and the count is written later.
pub fn json_logger(instance: &str) -> (Logger, AsyncGuard) {
    json_logger_to(std::io::stdout(), instance)
}

/// The same, to `out`.
pub fn json_logger_to(out: impl Write + Send + 'static, instance: &str) -> (Logger, AsyncGuard) {
    let drain = slog_json::Json::default(out).fuse();
    let queue = Async::new(drain).chan_size(QUEUED_LINES);
    rooted(queue, o!("instance" => instance.to_owned()))
}

fn rooted<T: SendSyncRefUnwindSafeKV + 'static>(
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
