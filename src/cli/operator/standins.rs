//! `filberttiller standins`: stand-ins for the platform and the backend servers, for manual
//! trials.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use standins::list::{Entry, InstanceState, Role};
use tokio::time::sleep;

use crate::cli::CliError;
use crate::cli::check::read;
use crate::demo::{Fleet, FleetOptions};
use crate::settings::Settings;

/// Starts the stand-ins on the addresses in the settings files, and stops them
/// after `time`.
pub(crate) async fn run(files: &[impl AsRef<Path>], time: Duration) -> Result<(), CliError> {
    let settings: Vec<Settings> =
        files.iter().map(|it| read(it.as_ref())).collect::<Result<_, _>>()?;
    let Some(first) = settings.first() else {
        return Err(CliError::Input("at least one settings file is needed".to_owned()));
    };
    let is_loopback = |it: SocketAddr| it.ip() == Ipv4Addr::LOCALHOST;
    if !is_loopback(first.log) || !is_loopback(first.list) {
        return Err(CliError::Input(
            "stand-ins run on 127.0.0.1 only; the log or the list has another address".to_owned(),
        ));
    }
    let options = FleetOptions {
        routers: 0,
        log: first.log,
        list: first.list,
        settings: first.clone(),
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await.map_err(|e| CliError::Failed(format!("{e:?}")))?;
    for it in &settings {
        fleet.list.put(Entry {
            name: it.name.clone(),
            address: it.listen,
            control: Some(it.control),
            domain: it.domain.clone(),
            role: Role::Entry,
            pool: "entry".to_owned(),
            standing: InstanceState::Live,
        });
    }
    println!("log {}, instance list {}", fleet.log.addr(), fleet.list.addr());
    println!("pools: assistant-llm, canary-llm, stockroom-app");
    println!("stopping after {time:?}");
    sleep(time).await;
    Ok(())
}
