//! Which builds of the router a soak runs.

use std::path::{Path, PathBuf};

/// The builds of the router that a soak runs.
#[derive(Debug, Clone)]
pub struct Programs {
    /// The build under test.
    pub current: PathBuf,
    /// An earlier build that runs beside it, as during an upgrade and while one is rolled back.
    pub former: Option<PathBuf>,
}

impl Programs {
    /// The build of the process that is started as number `start`: both in turn.
    pub(crate) fn of_start(&self, start: usize) -> &Path {
        let former = self.former.as_deref().filter(|_| start % 2 == 1);
        former.unwrap_or(&self.current)
    }
}
