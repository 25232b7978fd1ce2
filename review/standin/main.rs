//! Stand-ins of the platform's store, its backend servers and clients, and the cases of the
//! review, which run them against the project's own program.
//!
//! Arguments: the case, a temporary folder, the path of the record, and 0 to leave the disruption
//! out or 1. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.

mod bodies;
mod client;
mod config;
mod http;
mod moved;
mod record;
mod revoked;
mod router;
mod silence;
mod stop;
mod store;
mod streams;
mod take_up;
mod versions;
mod worker;

use std::io;
use std::process::ExitCode;

use crate::record::Record;

/// What a case finds.
pub enum Verdict {
    Held,
    Broken,
    /// It could not run, and why.
    Void(String),
}

/// What each case gets.
pub struct Setting {
    pub work: String,
    pub record: Record,
    /// Whether the disruption is caused.
    pub trouble: bool,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [name, work, record, trouble] = &arguments[..] else {
        eprintln!("arguments: CASE FOLDER RECORD TROUBLE");
        return ExitCode::from(2);
    };
    let trouble = trouble != "0";
    let record = Record::create(record);
    record.line(format!("case {name}, disruption: {trouble}"));
    let setting = Setting { work: work.clone(), record: record.clone(), trouble };
    let verdict: io::Result<Verdict> = match name.as_str() {
        "versions" => versions::run(&setting),
        "take-up" => take_up::run(&setting),
        "bodies" => bodies::run(&setting),
        "moved" => moved::run(&setting),
        "revoked" => revoked::run(&setting),
        "stop" => stop::run(&setting),
        "silence" => silence::run(&setting),
        _ => Ok(Verdict::Void(format!("there is no case {name}"))),
    };
    let (code, text) = match verdict {
        Ok(Verdict::Held) => (0, "the rule held".to_owned()),
        Ok(Verdict::Broken) => (1, "the rule was broken".to_owned()),
        Ok(Verdict::Void(why)) => (2, format!("the case could not run: {why}")),
        Err(e) => (2, format!("the case could not run: {e}")),
    };
    record.line(&text);
    println!("{text}");
    ExitCode::from(code)
}
