//! Arguments of the operators' program.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;

use crate::timeline::{Timeline, html, jsonl, text, trace};

/// Operates a fleet of routers between callers and backend servers.
///
/// Exit codes: 0 done, 1 failed, 2 invalid input, 3 only part of the fleet answered.
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
    /// Shows the objects in force on every router.
    #[bpaf(command("in-force"))]
    InForce {
        #[bpaf(external)]
        settings_arg: PathBuf,
        /// Prints JSON.
        json: bool,
    },
    /// Runs stand-ins for the platform and the backend servers on loopback, for manual trials.
    #[bpaf(command)]
    Standins {
        /// Run time in seconds.
        #[bpaf(argument("N"), fallback(600), display_fallback)]
        seconds: u64,
        /// Settings files of the routers that will run; they name the log and the list.
        #[bpaf(positional("FILE"), some("at least one settings file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Measures how fast tickets reach all routers of a fleet in one process, for about 2 minutes.
    #[bpaf(command, hide)]
    Spread {
        /// Number of routers.
        #[bpaf(argument("N"), fallback(4), display_fallback)]
        routers: usize,
        /// Number of engines.
        #[bpaf(argument("N"), fallback(12), display_fallback)]
        engines: usize,
    },
    /// Replays traces under routing policies and prints cache reuse, skew and control bytes.
    #[bpaf(command)]
    Measure {
        /// Seed of the traces.
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Policy to measure; may be given several times; default: all.
        #[bpaf(argument("NAME"))]
        policy: Vec<String>,
        /// Prints JSON lines.
        json: bool,
        /// Prints the traces instead of measuring them.
        write: bool,
        /// Trace to replay instead of generated ones.
        #[bpaf(positional("TRACE"))]
        file: Option<PathBuf>,
    },
    /// Runs a complete fleet with stand-ins in one process, for less than 20 s.
    #[bpaf(command)]
    Demo {
        /// Seed of the traffic.
        #[bpaf(argument("N"), fallback(1), display_fallback)]
        seed: u64,
        /// Number of chats.
        #[bpaf(argument("N"), fallback(120), display_fallback)]
        chats: usize,
        /// Also writes the time line as an HTML page.
        #[bpaf(argument("FILE"))]
        timeline: Option<PathBuf>,
    },
    /// Shows the state of the fleet on one screen.
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        settings_arg: PathBuf,
        /// Polls every 2 s until stopped.
        watch: bool,
        /// Prints JSON, one object for each poll.
        json: bool,
    },
    /// Shows the events of all routers in causal order.
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline_args))] TimelineArgs),
    /// Shows the logs of routers on a platform in order of time, or the cause of a request's outcome.
    #[bpaf(command)]
    Logs {
        /// Only the lines relevant to one request; the cause of its outcome goes to standard error.
        #[bpaf(argument("ID"))]
        request: Option<String>,
        /// Only the lines about one backend server.
        #[bpaf(argument("NAME"))]
        server: Option<String>,
        /// Format: text, jsonl, trace (for trace viewers) or html (one page).
        #[bpaf(argument("FORM"), fallback(Format::Text), debug_fallback)]
        format: Format,
        /// Log files of all routers; `-` is standard input.
        #[bpaf(positional("FILE"), some("at least one log file is needed"))]
        files: Vec<PathBuf>,
    },
    /// Sends load to a running fleet of stand-in engines, checks the answers and reports.
    #[bpaf(command)]
    Load(#[bpaf(external(load_args))] LoadArgs),
    /// Prints the resources that each role needs at a given fleet size, from measured slopes.
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_args))] CapacityArgs),
}

/// Load to send.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct LoadArgs {
    #[bpaf(external)]
    pub(crate) settings_arg: PathBuf,
    /// Requests a second, sent without waiting for earlier answers.
    #[bpaf(argument("N"), fallback(50.0), display_fallback)]
    pub(crate) rate: f64,
    /// Run time in seconds; at most 600.
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub(crate) seconds: u64,
    /// Seed of the schedule.
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// Number of organisations; the first ones send the most.
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    pub(crate) organisations: usize,
    /// Share of chat requests that continue a chat.
    #[bpaf(argument("SHARE"), fallback(0.8), display_fallback)]
    pub(crate) returning: f64,
    /// Share of chat requests whose answers are streamed.
    #[bpaf(argument("SHARE"), fallback(0.5), display_fallback)]
    pub(crate) streams: f64,
    /// Share of requests that are reservations, which run at most once.
    #[bpaf(argument("SHARE"), fallback(0.1), display_fallback)]
    pub(crate) once: f64,
    /// Allows addresses other than loopback.
    pub(crate) remote: bool,
    /// Prints JSON.
    pub(crate) json: bool,
    /// Also writes an HTML page with plots.
    #[bpaf(argument("FILE"))]
    pub(crate) html: Option<PathBuf>,
}

/// Events to show, and their format.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct TimelineArgs {
    #[bpaf(external)]
    pub(crate) settings_arg: PathBuf,
    /// Age of the oldest event to show, as in 90s, 15min or 2h.
    #[bpaf(argument("AGE"), fallback("1day".parse().expect("the default duration is valid")), display_fallback)]
    pub(crate) since: humantime::Duration,
    /// Only the events of one request.
    #[bpaf(argument("ID"))]
    pub(crate) request: Option<String>,
    /// Only the events of one ticket.
    #[bpaf(argument("NUMBER"))]
    pub(crate) ticket: Option<u64>,
    /// Only the requests of one chat.
    #[bpaf(argument("ORGANISATION/CHAT"))]
    pub(crate) chat: Option<String>,
    /// Only the events about one backend server.
    #[bpaf(argument("NAME"))]
    pub(crate) engine: Option<String>,
    /// Format: text, jsonl, trace (for trace viewers) or html (one page).
    #[bpaf(argument("FORM"), fallback(Format::Text), debug_fallback)]
    pub(crate) format: Format,
}

key! {
    /// Output format of a time line.
    pub(crate) enum Format {
        /// One line for each event, for people.
        Text,
        /// One JSON object a line.
        Jsonl,
        /// Trace event format, for trace viewers.
        Trace,
        /// One HTML page.
        Html,
    }
}

impl Format {
    /// Writes the time line in this format.
    pub(crate) fn write(self, all: &Timeline) -> String {
        match self {
            Format::Text => text(all),
            Format::Jsonl => jsonl(all),
            Format::Trace => trace(all),
            Format::Html => html(all),
        }
    }
}

impl FromStr for Format {
    type Err = String;

    fn from_str(text: &str) -> Result<Format, String> {
        match text {
            "text" => Ok(Format::Text),
            "jsonl" => Ok(Format::Jsonl),
            "trace" => Ok(Format::Trace),
            "html" => Ok(Format::Html),
            _ => Err(format!("unknown format `{text}`; expected text, jsonl, trace or html")),
        }
    }
}

/// Fleet size for which to compute the resources.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct CapacityArgs {
    /// Measures the slopes, for about a minute, instead of using the recorded ones.
    pub(crate) measure: bool,
    /// Measures only this slope and prints it; may be given several times.
    #[bpaf(argument("NAME"))]
    pub(crate) probe: Vec<String>,
    /// Prints the slopes as JSON.
    pub(crate) json: bool,
    /// Number of routers.
    #[bpaf(argument("N"), fallback(400.0), display_fallback)]
    pub(crate) routers: f64,
    /// Number of backend servers.
    #[bpaf(argument("N"), fallback(790.0), display_fallback)]
    pub(crate) workers: f64,
    /// Requests a second over the fleet.
    #[bpaf(argument("N"), fallback(4_600.0), display_fallback)]
    pub(crate) requests: f64,
    /// Number of organisations.
    #[bpaf(argument("N"), fallback(2_300.0), display_fallback)]
    pub(crate) organisations: f64,
    /// Tickets a day.
    #[bpaf(argument("N"), fallback(1_700.0), display_fallback)]
    pub(crate) tickets: f64,
}

/// Commands for a ticket.
#[derive(Debug, Clone, Bpaf)]
pub(crate) enum TicketArgs {
    /// Checks a ticket file.
    #[bpaf(command("check"))]
    CheckTicket {
        /// The ticket file.
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Publishes a ticket and waits until every router reports its outcome.
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
