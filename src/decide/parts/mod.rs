//! Parts of prompts that crash the backend servers which begin to answer them.
//!
//! A prompt consists of parts that many requests share. If one of them crashes servers, the
//! requests with it differ in all else, so that no request crashes a second server. Sound
//! requests share every other part with them, and run on the servers that crash. What tells
//! the parts apart is that requests with a sound part are answered in full.

mod answered_parts;
mod blamed_part;
mod blamed_parts;
mod cut_run;
mod cut_runs;
mod part_news;
mod part_suspects;
mod recent_parts;

pub use blamed_part::BlamedPart;
pub use cut_run::{CutRun, PartIds};
pub use part_news::{AnsweredPart, PartNews};
pub use part_suspects::{PartChange, PartPolicy, PartSuspects};
