//! `filberttiller logs`.

use std::fs::read_to_string;
use std::io::read_to_string as read_all;
use std::path::{Path, PathBuf};

use crate::cli::CliError;
use crate::cli::operator::args::Format;
use crate::timeline::{LogLine, Selection, Timeline, diagnose};

/// File name that means standard input.
const STDIN: &str = "-";

/// Shows logs of routers in order of time; with `request` only the lines relevant to that
/// request, and the cause of its outcome.
pub(crate) fn run(
    files: &[PathBuf],
    request: Option<&str>,
    server: Option<&str>,
    format: Format,
) -> Result<(), CliError> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    for file in files {
        for line in read(file)?.lines() {
            match LogLine::parse(line) {
                Some(it) => lines.push(it),
                None => skipped += 1,
            }
        }
    }
    if skipped > 0 {
        eprintln!("skipped {skipped} lines that are not log lines of a router");
    }
    lines.sort_by_key(|it| it.at);
    let chosen: Vec<&LogLine> = match request {
        None => lines.iter().collect(),
        Some(id) => {
            let diagnosis = diagnose(&lines, id)
                .ok_or_else(|| CliError::Failed(format!("no log line mentions request {id}")))?;
            eprintln!("cause: {}", diagnosis.cause);
            diagnosis.evidence
        }
    };
    let all = Timeline::from_logs(&chosen);
    let selection = server.map_or(Selection::All, |it| Selection::Engine(it.to_owned()));
    print!("{}", format.write(&selection.apply(&all)));
    Ok(())
}

fn read(file: &Path) -> Result<String, CliError> {
    let text = match file.to_str() {
        Some(STDIN) => read_all(std::io::stdin()),
        _ => read_to_string(file),
    };
    text.map_err(|e| CliError::Input(format!("{}: {e}", file.display())))
}
