//! Entry point of the operators' program.

use std::time::Duration;

use crate::cli::operator::args::{Args, TicketArgs, args};
use crate::cli::operator::{
    capacity, demo, in_force, init, load, logs, measure, spread, standins, status, ticket, timeline,
};
use crate::cli::{CliError, check};

/// Runs the command that the arguments name.
///
/// # Errors
/// Fails when the command fails; [`CliError::code`] gives the exit code.
pub fn run() -> Result<(), CliError> {
    match args().run() {
        Args::Init => init::run(),
        Args::Check { file } => check::run(&file),
        Args::Ticket(TicketArgs::CheckTicket { file }) => ticket::check(&file),
        Args::Ticket(TicketArgs::PublishTicket { settings_arg, file }) => {
            block_on(ticket::publish(&settings_arg, &file))
        }
        Args::Demo { seed, chats, timeline } => {
            block_on(demo::run(seed, chats, timeline.as_deref()))
        }
        Args::Measure { seed, policy: policies, json, write, file } => {
            measure::run(&measure::MeasureOptions { seed, policies, json, write, file })
        }
        Args::Standins { seconds, files } => {
            block_on(standins::run(&files, Duration::from_secs(seconds)))
        }
        Args::Spread { routers, engines } => block_on(spread::run(routers, engines)),
        Args::Capacity(args) => block_on(capacity::run(&args)),
        Args::Load(args) => block_on(load::run(&args)),
        Args::Logs { request, server, format, files } => {
            logs::run(&files, request.as_deref(), server.as_deref(), format)
        }
        Args::Timeline(args) => block_on(timeline::run(&args)),
        Args::Status { settings_arg, watch, json } => {
            block_on(status::run(&settings_arg, watch, json))
        }
        Args::InForce { settings_arg, json } => block_on(in_force::run(&settings_arg, json)),
    }
}

/// Runs a command on a runtime of its own.
fn block_on(command: impl Future<Output = Result<(), CliError>>) -> Result<(), CliError> {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build()
        .map_err(|e| CliError::Failed(format!("cannot start threads: {e}")))?;
    let result = runtime.block_on(command);
    runtime.shutdown_background();
    result
}
