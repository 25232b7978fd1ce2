//! `filberttiller measure`.

use std::path::{Path, PathBuf};

use crate::cli::CliError;
use crate::measure::{SHAPES, Trace, generate, measure, parse_trace, policy, table, write_trace};

/// Options of a measurement.
#[derive(Debug, Clone, Default)]
pub(crate) struct MeasureOptions {
    pub(crate) seed: u64,
    pub(crate) policies: Vec<String>,
    pub(crate) json: bool,
    pub(crate) write: bool,
    pub(crate) file: Option<PathBuf>,
}

/// Replays traces under routing policies and prints the results.
pub(crate) fn run(options: &MeasureOptions) -> Result<(), CliError> {
    if let Some(unknown) = options.policies.iter().find(|it| policy(it).is_none()) {
        return Err(CliError::Input(format!("unknown policy `{unknown}`")));
    }
    let traces = match &options.file {
        Some(file) => vec![read(file)?],
        None => SHAPES.iter().map(|it| generate(it, options.seed)).collect(),
    };
    for trace in &traces {
        if options.write {
            print!("{}", write_trace(trace));
            continue;
        }
        let rows = measure(trace, &options.policies);
        if options.json {
            for row in &rows {
                println!("{}", serde_json::to_string(row).unwrap_or_default());
            }
            continue;
        }
        let head = &trace.head;
        println!(
            "trace {}: {} routers, {} lines, load bound {}, reuse within {} percentage points",
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
