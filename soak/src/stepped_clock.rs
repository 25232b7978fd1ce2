//! A clock with offsets that are read from a file.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

use filberttiller::clock::{Clock, SystemClock};

/// How long offsets are cached before the file is read again.
const READ_INTERVAL: Duration = Duration::from_millis(20);

/// Offsets of the clocks of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Steps {
    /// Offset of the wall clock in milliseconds; negative when it was set back.
    pub wall: i64,
    /// Offset of the time since boot in milliseconds; only grows, as when the machine was
    /// suspended.
    pub boot: u64,
}

impl Steps {
    /// Path of the clock file of the process with the settings file `settings`.
    fn path(settings: &Path) -> PathBuf {
        settings.with_extension("clock")
    }

    /// Writes these offsets for the process with the settings file `settings`.
    ///
    /// # Errors
    /// Fails when the file cannot be written.
    pub fn write(self, settings: &Path) -> io::Result<()> {
        let path = Steps::path(settings);
        let new = path.with_extension("clock-new");
        fs::write(&new, format!("{} {}", self.wall, self.boot))?;
        fs::rename(&new, &path)
    }

    /// Reads the offsets; 0 while there is no file. Other errors are written to standard error,
    /// which the soak reports as a failure.
    fn read(path: &Path) -> Steps {
        let text = match fs::read_to_string(path) {
            Ok(it) => it,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Steps::default(),
            Err(e) => {
                eprintln!("clock file {} cannot be read: {e}", path.display());
                return Steps::default();
            }
        };
        Steps::parse(&text).unwrap_or_else(|| {
            eprintln!("clock file {} does not hold two numbers: {text}", path.display());
            Steps::default()
        })
    }

    fn parse(text: &str) -> Option<Steps> {
        let (wall, boot) = text.split_once(' ')?;
        Some(Steps { wall: wall.parse().ok()?, boot: boot.parse().ok()? })
    }
}

/// The system clock plus offsets that are read from a file.
#[derive(Debug)]
pub struct SteppedClock {
    path: PathBuf,
    last: Mutex<Option<(Instant, Steps)>>,
}

impl SteppedClock {
    /// Creates a clock that reads the clock file next to the settings file `settings`.
    pub fn beside(settings: &Path) -> SteppedClock {
        SteppedClock { path: Steps::path(settings), last: Mutex::default() }
    }

    fn steps(&self) -> Steps {
        let now = Instant::now();
        let mut last = self.last.lock().unwrap();
        match *last {
            Some((at, steps)) if now.saturating_duration_since(at) < READ_INTERVAL => steps,
            _ => {
                let steps = Steps::read(&self.path);
                *last = Some((now, steps));
                steps
            }
        }
    }
}

impl Clock for SteppedClock {
    fn now(&self) -> Instant {
        SystemClock.now()
    }

    fn wall(&self) -> SystemTime {
        let offset = self.steps().wall;
        let size = Duration::from_millis(offset.unsigned_abs());
        if offset < 0 { SystemClock.wall() - size } else { SystemClock.wall() + size }
    }

    fn boot(&self) -> Duration {
        SystemClock.boot() + Duration::from_millis(self.steps().boot)
    }
}
