//! The time line of events over all processes.

mod explain;
mod html;
mod jsonl;
mod log_line;
mod log_story;
mod process;
mod read;
mod selection;
mod text;
mod timeline;
mod trace;

pub use explain::{Explanation, explain, unexplained};
pub use html::html;
pub use jsonl::jsonl;
pub use log_line::LogLine;
pub use log_story::{LogStory, log_story};
pub use process::{Gap, Process};
pub use read::read;
pub use selection::Selection;
pub use text::text;
pub use timeline::Timeline;
pub use trace::trace;
