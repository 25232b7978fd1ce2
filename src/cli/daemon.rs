//! Entry point of the daemon.

use std::sync::Arc;

use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::cli::CliError;
use crate::cli::check::read;
use crate::cli::daemon_args::daemon_args;
use crate::clock::SystemClock;
use crate::daemon::{Daemon, Stop};
use crate::events::root_logger;

/// Runs the daemon until SIGTERM or SIGINT; a second signal cuts off what is still
/// in flight.
///
/// # Errors
/// Fails when the settings are invalid, when an address is in use, or when connections
/// were cut off at shutdown.
pub fn run_daemon() -> Result<(), CliError> {
    let args = daemon_args().run();
    let settings = read(&args.settings)?;
    let (logger, _written) = root_logger(args.log_format, &settings.name);
    let failed = |text: String| CliError::Failed(text);
    let mut daemon = Daemon::start(settings, Arc::new(SystemClock), logger)
        .map_err(|e| failed(format!("{e:?}")))?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| failed(format!("cannot start the runtime: {e}")))?;
    runtime.block_on(async {
        let mut terminate = listen(SignalKind::terminate())?;
        let mut interrupt = listen(SignalKind::interrupt())?;
        either(&mut terminate, &mut interrupt).await;
        let stop_sender = daemon.stop_sender();
        let mut drain = std::pin::pin!(daemon.drain());
        let stopped = tokio::select! {
            stopped = drain.as_mut() => stopped,
            () = either(&mut terminate, &mut interrupt) => {
                stop_sender.send_replace(Stop::Cut);
                drain.await
            }
        };
        match stopped.cut {
            0 => Ok(()),
            cut => Err(failed(format!("{cut} connections were cut off at shutdown"))),
        }
    })
}

fn listen(kind: SignalKind) -> Result<Signal, CliError> {
    signal(kind).map_err(|e| CliError::Failed(format!("cannot listen for signals: {e}")))
}

/// Waits for the first of two signals.
async fn either(a: &mut Signal, b: &mut Signal) {
    tokio::select! {
        _ = a.recv() => {}
        _ = b.recv() => {}
    }
}
