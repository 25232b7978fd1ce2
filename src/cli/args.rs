//! Arguments of the operators' program.

use std::path::PathBuf;

use bpaf::Bpaf;

/// Serves and steers a fleet of routers between callers and model engines.
///
/// Exit codes: 0 done, 1 failed, 2 wrong input, 3 only part of the fleet answered.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) enum Args {
    /// Prints a commented settings file.
    #[bpaf(command)]
    Init,
    /// Checks a settings file.
    #[bpaf(command)]
    Check {
        /// The settings file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Checks or publishes a ticket.
    #[bpaf(command)]
    Ticket(#[bpaf(external(ticket_args))] TicketArgs),
    /// Shows what is in force on every router.
    #[bpaf(command("in-force"))]
    InForce {
        #[bpaf(external)]
        settings_arg: PathBuf,
        /// Prints JSON.
        json: bool,
    },
    /// Runs the platform and backend servers for a trial by hand, on loopback.
    #[bpaf(command)]
    Standins {
        /// How long, in seconds.
        #[bpaf(argument("N"), fallback(600), display_fallback)]
        seconds: u64,
        /// Settings files of the routers that will run; they name log and list.
        #[bpaf(positional("FILE"), some("at least one settings file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Measures how fast tickets spread in one process, for about 2 minutes.
    #[bpaf(command, hide)]
    Spread {
        /// Number of routers.
        #[bpaf(argument("N"), fallback(4), display_fallback)]
        routers: usize,
        /// Number of engines.
        #[bpaf(argument("N"), fallback(12), display_fallback)]
        engines: usize,
    },
    /// Replays traces under routing policies: cache reuse, skew and control bytes.
    #[bpaf(command)]
    Measure {
        /// Seed of the traces.
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Policy to measure; may stand several times; all when absent.
        #[bpaf(argument("NAME"))]
        policy: Vec<String>,
        /// Prints JSON lines.
        json: bool,
        /// Prints the traces in place of measuring.
        write: bool,
        /// Trace to replay in place of the seeded ones.
        #[bpaf(positional("TRACE"))]
        file: Option<PathBuf>,
    },
    /// Runs a whole fleet with stand-ins in one process, for less than 20 s.
    #[bpaf(command)]
    Demo {
        /// Seed of the traffic.
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Number of chats.
        #[bpaf(argument("N"), fallback(120), display_fallback)]
        chats: usize,
    },
}

/// What to do with a ticket.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum TicketArgs {
    /// Checks a ticket file.
    #[bpaf(command("check"))]
    CheckTicket {
        /// The ticket file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Publishes a ticket and waits until every router says what became of it.
    #[bpaf(command("publish"))]
    PublishTicket {
        #[bpaf(external)]
        settings_arg: PathBuf,
        /// The ticket file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
}

/// Settings file of any instance: names the log, the list and the token.
fn settings_arg() -> impl bpaf::Parser<PathBuf> {
    bpaf::long("settings")
        .short('s')
        .help("Settings file of any instance; it names the log, the list and the token")
        .argument("FILE")
}

/// Arguments of the daemon.
///
/// Exit codes: 0 stopped with nothing cut off, 1 failed or cut off, 2 wrong input.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub(crate) struct DaemonArgs {
    /// Form of log lines: text or json.
    #[bpaf(argument("FORM"), fallback(crate::events::LogFormat::Text), debug_fallback)]
    pub(crate) log_format: crate::events::LogFormat,
    /// The settings file.
    #[bpaf(positional("SETTINGS"))]
    pub(crate) settings: PathBuf,
}
