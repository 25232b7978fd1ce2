//! `filberttiller measure`.

use std::path::{Path, PathBuf};

use crate::cli::CliError;
use crate::measure::{SHAPES, Trace, generate, measure, parse_trace, policy, table, write_trace};

/// What to measure.
#[derive(Debug, Clone, Default)]
pub(crate) struct Wanted {
    pub(crate) seed: u64,
    pub(crate) policies: Vec<String>,
    pub(crate) json: bool,
    pub(crate) write: bool,
    pub(crate) file: Option<PathBuf>,
}

/// Replays traces under routing policies and prints what came of it.
pub(crate) fn run(wanted: &Wanted) -> Result<(), CliError> {
    if let Some(unknown) = wanted.policies.iter().find(|it| policy(it).is_none()) {
        return Err(CliError::Input(format!("there is no policy `{unknown}`")));
    }
    let traces = match &wanted.file {
        Some(file) => vec![read(file)?],
        None => SHAPES.iter().map(|it| generate(it, wanted.seed)).collect(),
    };
    for trace in &traces {
        if wanted.write {
            print!("{}", write_trace(trace));
            continue;
        }
        let rows = measure(trace, &wanted.policies);
        if wanted.json {
            for row in &rows {
                println!("{}", serde_json::to_string(row).unwrap_or_default());
            }
            continue;
        }
        let head = &trace.head;
        println!(
            "trace {}: {} routers, {} lines, bound {}, reuse within {} points",
            head.trace,
            head.routers,
            trace.lines.len(),
            head.bound,
            head.reuse_gap
        );
        println!("{}", table(&rows));
    }
    Ok(())
}

fn read(file: &Path) -> Result<Trace, CliError> {
    let name = file.display();
    let text = std::fs::read_to_string(file)
        .map_err(|e| CliError::Input(format!("{name}: cannot be read: {e}")))?;
    parse_trace(&text).map_err(|e| CliError::Input(format!("{name}: {e}")))
}
