//! A clock that steps as a file says.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::time::{Duration, Instant, SystemTime};

use filberttiller::clock::{Clock, SystemClock};

/// How long what was read from the file is used.
const READ_PAUSE: Duration = Duration::from_millis(20);

/// How far the clocks of a machine are off.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Steps {
    /// Wall clock, in milliseconds; below 0 where it was set back.
    pub wall: i64,
    /// Time since boot, in milliseconds; only grows, as with suspensions of the machine.
    pub boot: u64,
}

impl Steps {
    /// The file of the process whose settings are at `settings`.
    fn path(settings: &Path) -> PathBuf {
        settings.with_extension("clock")
    }

    /// Puts these steps in force for the process whose settings are at `settings`.
    ///
    /// # Errors
    /// Fails when the file cannot be written.
    pub fn write(self, settings: &Path) -> io::Result<()> {
        let path = Steps::path(settings);
        let new = path.with_extension("clock-new");
        fs::write(&new, format!("{} {}", self.wall, self.boot))?;
        fs::rename(&new, &path)
    }

    /// No steps while there is no file. What cannot be read goes to standard error, which
    /// the soak takes for a failure.
    fn read(path: &Path) -> Steps {
        let text = match fs::read_to_string(path) {
            Ok(it) => it,
            Err(e) if e.kind() == io::ErrorKind::NotFound => return Steps::default(),
            Err(e) => {
                eprintln!("steps of the clock cannot be read: {e}");
                return Steps::default();
            }
        };
        Steps::parse(&text).unwrap_or_else(|| {
            eprintln!("steps of the clock are no two numbers: {text}");
            Steps::default()
        })
    }

    fn parse(text: &str) -> Option<Steps> {
        let (wall, boot) = text.split_once(' ')?;
        Some(Steps { wall: wall.parse().ok()?, boot: boot.parse().ok()? })
    }
}

/// The machine's clock, off by what a file says.
#[derive(Debug)]
pub struct SteppedClock {
    path: PathBuf,
    last: Mutex<Option<(Instant, Steps)>>,
}

impl SteppedClock {
    /// Follows the file beside the settings at `settings`.
    pub fn beside(settings: &Path) -> SteppedClock {
        SteppedClock { path: Steps::path(settings), last: Mutex::default() }
    }

    fn steps(&self) -> Steps {
        let now = Instant::now();
        let mut last = self.last.lock().unwrap();
        match *last {
            Some((at, steps)) if now.saturating_duration_since(at) < READ_PAUSE => steps,
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
        let by = self.steps().wall;
        let size = Duration::from_millis(by.unsigned_abs());
        if by < 0 { SystemClock.wall() - size } else { SystemClock.wall() + size }
    }

    fn boot(&self) -> Duration {
        SystemClock.boot() + Duration::from_millis(self.steps().boot)
    }
}
