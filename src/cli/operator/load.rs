//! `filberttiller load`.

use std::net::SocketAddr;
use std::time::Duration;

use crate::cli::CliError;
use crate::cli::operator::args::LoadArgs;
use crate::cli::operator::client::Client;
use crate::load::{LoadOptions, LoadReport, html, run as run_load};

/// Sends load to a running fleet and reports the outcomes of the requests.
pub(crate) async fn run(args: &LoadArgs) -> Result<(), CliError> {
    let options = LoadOptions {
        routers: routers(args).await?,
        rate: args.rate,
        time: Duration::from_secs(args.seconds),
        seed: args.seed,
        organisations: args.organisations,
        returning: args.returning,
        streams: args.streams,
        once: args.once,
        remote: args.remote,
        ..LoadOptions::default()
    };
    let stats = run_load(&options).await.map_err(|e| CliError::Input(e.to_string()))?;
    let report = LoadReport::new(&options, &stats);
    if let Some(file) = &args.html {
        let written = std::fs::write(file, html(&report));
        written.map_err(|e| CliError::Failed(format!("{}: {e}", file.display())))?;
    }
    if args.json {
        let text = serde_json::to_string_pretty(&report);
        println!("{}", text.map_err(|e| CliError::Failed(e.to_string()))?);
    } else {
        print!("{report}");
    }
    if report.is_good() {
        return Ok(());
    }
    Err(CliError::Failed("an answer was wrong, or no request succeeded".to_owned()))
}

/// Addresses at which the routers serve callers.
async fn routers(args: &LoadArgs) -> Result<Vec<SocketAddr>, CliError> {
    let client = Client::new(&args.settings_arg)?;
    Ok(client.entry_addresses().await)
}
