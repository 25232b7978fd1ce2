//! `filberttiller capacity`.

use crate::capacity::{
    Fit, PROBES, Probe, Sizes, Slope, Slopes, figures, format_number, measure, table_header,
};
use crate::cli::CliError;
use crate::cli::operator::args::CapacityArgs;
use crate::settings::StateSync;

/// Prints the resources that each role needs at the given fleet size.
pub(crate) async fn run(args: &CapacityArgs) -> Result<(), CliError> {
    let slopes = match (args.measure, args.probe.as_slice()) {
        (false, []) => recorded()?,
        (true, []) => measure_slopes(PROBES).await,
        (_, names) => measure_slopes(&find_probes(names)?).await,
    };
    if args.json {
        let all: Vec<_> = slopes.iter().collect();
        let text = serde_json::to_string_pretty(&all);
        println!("{}", text.map_err(|e| CliError::Failed(e.to_string()))?);
        return Ok(());
    }
    print_slopes(&slopes);
    if !args.probe.is_empty() {
        return Ok(());
    }
    let sizes = Sizes {
        routers: args.routers,
        workers: args.workers,
        requests: args.requests,
        organisations: args.organisations,
        tickets: args.tickets,
        ..Sizes::default()
    };
    println!("\n{}", table_header());
    for it in figures(&slopes, &sizes, &StateSync::default()) {
        println!("{it}");
    }
    Ok(())
}

/// The probes with these names.
fn find_probes(names: &[String]) -> Result<Vec<Probe>, CliError> {
    let find = |name: &String| {
        let found = PROBES.iter().find(|it| it.name == name).copied();
        found.ok_or_else(|| CliError::Input(format!("unknown probe `{name}`")))
    };
    names.iter().map(find).collect()
}

async fn measure_slopes(probes: &[Probe]) -> Slopes {
    let mut slopes = Vec::new();
    for probe in probes {
        eprintln!("measuring {} at {:?} {}s", probe.name, probe.sizes, probe.unit);
        slopes.push(measure(probe).await);
    }
    slopes.into_iter().collect()
}

fn recorded() -> Result<Slopes, CliError> {
    Slopes::recorded()
        .map_err(|e| CliError::Failed(format!("cannot read the recorded slopes: {e}")))
}

fn print_slopes(slopes: &Slopes) {
    println!("| Slope | Sizes | Part | At 0 | For each | Residual |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for it in slopes.iter() {
        print_part(it, "heap, B", it.bytes.as_ref());
        print_part(it, "time, µs", it.micros.as_ref());
        print_part(it, "wire, B", it.wire.as_ref());
    }
}

fn print_part(slope: &Slope, part: &str, fit: Option<&Fit>) {
    let Some(fit) = fit else {
        return;
    };
    let sizes: Vec<_> = slope.sizes.iter().map(ToString::to_string).collect();
    println!(
        "| {} | {} {}s | {part} | {} | {} | {:.1}% |",
        slope.name,
        sizes.join(", "),
        slope.unit,
        format_number(fit.base),
        format_number(fit.slope),
        fit.residual * 100.0
    );
}
