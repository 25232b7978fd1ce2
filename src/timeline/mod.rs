//! The time line of events over all processes.

mod diagnosis;
mod explain;
mod html;
mod jsonl;
mod log_line;
mod process;
mod read;
mod selection;
mod text;
mod timeline;
mod trace;

pub use diagnosis::{Diagnosis, diagnose};
pub use explain::{Explanation, explain, unexplained};
pub use html::html;
pub use jsonl::jsonl;
pub use log_line::LogLine;
pub use process::{Gap, Process};
pub use read::read;
pub use selection::Selection;
pub use text::text;
pub use timeline::Timeline;
pub use trace::trace;
