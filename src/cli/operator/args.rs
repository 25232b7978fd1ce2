//! Arguments of the operators' program.

use std::path::PathBuf;
use std::str::FromStr;

use bpaf::Bpaf;

use crate::timeline::{Timeline, html, jsonl, text, trace};

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
        /// Also writes the time line as one page.
        #[bpaf(argument("FILE"))]
        timeline: Option<PathBuf>,
    },
    /// Shows one screen over the fleet.
    #[bpaf(command)]
    Status {
        #[bpaf(external)]
        settings_arg: PathBuf,
        /// Looks again every 2 s until stopped.
        watch: bool,
        /// Prints JSON, one object a look.
        json: bool,
    },
    /// Shows the events of all routers in causal order.
    #[bpaf(command)]
    Timeline(#[bpaf(external(timeline_args))] TimelineArgs),
    /// Shows logs of routers on a platform in the order of time, or why a request ended as it did.
    #[bpaf(command)]
    Logs {
        /// Only what bears on one request; its cause goes to standard error.
        #[bpaf(argument("ID"))]
        request: Option<String>,
        /// Only what concerns one backend server.
        #[bpaf(argument("NAME"))]
        server: Option<String>,
        /// Form: text, jsonl, trace (for trace viewers) or html (one page).
        #[bpaf(argument("FORM"), fallback(Format::Text), debug_fallback)]
        format: Format,
        /// Log files of all routers; `-` is standard input.
        #[bpaf(positional("FILE"), some("at least one log is needed"))]
        files: Vec<PathBuf>,
    },
    /// Sends checked load to a running fleet of stand-in engines, then reports and ends.
    #[bpaf(command)]
    Load(#[bpaf(external(load_args))] LoadArgs),
    /// Prints what each role takes at a given size, from measured slopes.
    #[bpaf(command)]
    Capacity(#[bpaf(external(capacity_args))] CapacityArgs),
}

/// What load to send.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct LoadArgs {
    #[bpaf(external)]
    pub(crate) settings_arg: PathBuf,
    /// Requests a second, sent whether or not earlier ones are answered.
    #[bpaf(argument("N"), fallback(50.0), display_fallback)]
    pub(crate) rate: f64,
    /// How long, in seconds; at most 600.
    #[bpaf(argument("N"), fallback(10), display_fallback)]
    pub(crate) seconds: u64,
    /// Seed of the schedule.
    #[bpaf(argument("N"), fallback(1), display_fallback)]
    pub(crate) seed: u64,
    /// Organisations; the first ones send the most.
    #[bpaf(argument("N"), fallback(5), display_fallback)]
    pub(crate) organisations: usize,
    /// Share of chat requests that continue a chat.
    #[bpaf(argument("SHARE"), fallback(0.8), display_fallback)]
    pub(crate) returning: f64,
    /// Share of chat requests whose answers are streamed.
    #[bpaf(argument("SHARE"), fallback(0.5), display_fallback)]
    pub(crate) streams: f64,
    /// Share of requests that are reservations, which may not be repeated.
    #[bpaf(argument("SHARE"), fallback(0.1), display_fallback)]
    pub(crate) once: f64,
    /// Allows addresses other than loopback.
    pub(crate) remote: bool,
    /// Prints JSON.
    pub(crate) json: bool,
    /// Also writes a page with plots.
    #[bpaf(argument("FILE"))]
    pub(crate) html: Option<PathBuf>,
}

/// Which events to show, and how.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct TimelineArgs {
    #[bpaf(external)]
    pub(crate) settings_arg: PathBuf,
    /// Age of the oldest event to show, as in 90s, 15min or 2h.
    #[bpaf(argument("AGE"), fallback("1day".parse().expect("a good time")), display_fallback)]
    pub(crate) since: humantime::Duration,
    /// Only the story of one request.
    #[bpaf(argument("ID"))]
    pub(crate) request: Option<String>,
    /// Only what became of one ticket.
    #[bpaf(argument("NUMBER"))]
    pub(crate) ticket: Option<u64>,
    /// Only the requests of one chat.
    #[bpaf(argument("ORGANISATION/CHAT"))]
    pub(crate) chat: Option<String>,
    /// Only what concerns one backend server.
    #[bpaf(argument("NAME"))]
    pub(crate) engine: Option<String>,
    /// Form: text, jsonl, trace (for trace viewers) or html (one page).
    #[bpaf(argument("FORM"), fallback(Format::Text), debug_fallback)]
    pub(crate) format: Format,
}

key! {
    /// Forms of a time line.
    pub(crate) enum Format {
        /// One line an event, for people.
        Text,
        /// One JSON object a line.
        Jsonl,
        /// Trace event format.
        Trace,
        /// One page.
        Html,
    }
}

impl Format {
    /// The time line in this form.
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
            _ => Err(format!("`{text}` is no form; text, jsonl, trace and html are")),
        }
    }
}

/// Sizes to work out the figures for.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct CapacityArgs {
    /// Measures the slopes anew, for about a minute, in place of the recorded ones.
    pub(crate) measure: bool,
    /// Measures only this slope and prints it; may stand several times.
    #[bpaf(argument("NAME"))]
    pub(crate) probe: Vec<String>,
    /// Prints the slopes as JSON.
    pub(crate) json: bool,
    /// Routers.
    #[bpaf(argument("N"), fallback(400.0), display_fallback)]
    pub(crate) routers: f64,
    /// Backend servers.
    #[bpaf(argument("N"), fallback(790.0), display_fallback)]
    pub(crate) workers: f64,
    /// Requests a second over the fleet.
    #[bpaf(argument("N"), fallback(4_600.0), display_fallback)]
    pub(crate) requests: f64,
    /// Organisations.
    #[bpaf(argument("N"), fallback(2_300.0), display_fallback)]
    pub(crate) organisations: f64,
    /// Tickets a day.
    #[bpaf(argument("N"), fallback(1_700.0), display_fallback)]
    pub(crate) tickets: f64,
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
