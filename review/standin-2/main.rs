//! Stand-ins and clients of the second review. `standin-2 CASE RECORD` runs a case.
//!
//! Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.

mod client;
mod config;
mod half_heads;
mod http;
mod reader_leaves;
mod record;
mod restored_key;
mod restored_versions;
mod router;
mod slow_reader;
mod store;
mod system;
mod worker;

use std::path::{Path, PathBuf};
use std::process::exit;
use std::sync::{Mutex, OnceLock};

use record::Record;

/// Folders to remove at the end.
static FOLDERS: Mutex<Vec<PathBuf>> = Mutex::new(Vec::new());
/// Processes that were started.
static PROCESSES: Mutex<Vec<u32>> = Mutex::new(Vec::new());
static RECORD: OnceLock<Record> = OnceLock::new();

/// Ends the case, as it could not run.
pub fn unable(reason: &str) -> ! {
    if let Some(record) = RECORD.get() {
        record.line(&format!("the case could not run: {reason}"));
    }
    eprintln!("the case could not run: {reason}");
    end(2)
}

/// Notes a process that is to end with this one.
pub fn note_process(process: u32) {
    PROCESSES.lock().unwrap().push(process);
}

/// Notes that a process has ended, so that its id may stand for another one.
pub fn forget_process(process: u32) {
    PROCESSES.lock().unwrap().retain(|it| *it != process);
}

/// Ends all processes that were started, and this one.
fn end(code: i32) -> ! {
    for it in PROCESSES.lock().unwrap().iter() {
        system::signal(*it, system::SIGKILL);
    }
    if let Some(record) = RECORD.get() {
        record.flush();
    }
    if std::env::var("KEEP").is_err() {
        for it in FOLDERS.lock().unwrap().iter() {
            let _ = std::fs::remove_dir_all(it);
        }
    }
    exit(code)
}

/// Whether the disruption takes place.
pub fn is_disrupted() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// A number that a trial of the case sets, or `default`.
pub fn number(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|it| it.parse().ok()).unwrap_or(default)
}

/// A folder for the files of this run.
pub fn folder() -> PathBuf {
    let path = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap_or_else(|e| unable(&format!("a folder: {e}")));
    FOLDERS.lock().unwrap().push(path.clone());
    path
}

fn main() {
    let words: Vec<String> = std::env::args().collect();
    let [_, case, path] = words.as_slice() else { unable("usage: standin-2 CASE RECORD") };
    let record = Record::new(Path::new(path));
    let record = RECORD.get_or_init(|| record);
    record.say(if is_disrupted() { "with the disruption" } else { "without the disruption" });
    let run: fn(&Record) -> bool = match case.as_str() {
        "restored-versions" => restored_versions::run,
        "slow-reader" => slow_reader::run,
        "restored-key" => restored_key::run,
        "reader-leaves" => reader_leaves::run,
        "half-heads" => half_heads::run,
        _ => unable("no such case"),
    };
    let Ok(is_broken) = std::panic::catch_unwind(|| run(record)) else {
        unable("a part of the stand-in failed");
    };
    record.say(if is_broken { "the rule was broken" } else { "the rule held" });
    end(i32::from(is_broken))
}
