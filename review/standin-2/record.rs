//! The record of a run: what was sent, answered and run, with times since its start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

/// Writes lines to a file; clones write to the same one.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    pub fn new(path: &Path) -> Record {
        let file = File::create(path).unwrap_or_else(|e| crate::unable(&format!("record: {e}")));
        Record { start: Instant::now(), file: Arc::new(Mutex::new(BufWriter::new(file))) }
    }

    /// Seconds from the start of the run to `at`.
    pub fn seconds(&self, at: Instant) -> f64 {
        at.saturating_duration_since(self.start).as_secs_f64()
    }

    /// Writes a line with the time `at`.
    pub fn line_at(&self, at: Instant, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:9.3} {text}", self.seconds(at));
    }

    /// Writes a line with the present time.
    pub fn line(&self, text: &str) {
        self.line_at(Instant::now(), text);
    }

    /// Writes a line with the present time, and prints it.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.seconds(Instant::now()));
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
