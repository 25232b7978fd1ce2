//! What became of a request and why, from the logs of routers alone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::events::Code;
use crate::timeline::LogLine;

/// Time around a request in which what its servers did explains it.
const NEAR: Duration = Duration::from_secs(3);
/// Time before a request in which what its router believed explains it.
const BEFORE: Duration = Duration::from_secs(15);
/// Events of a router that bear on all its requests.
const ROUTER_EVENTS: [Code; 9] = [
    Code::ShutdownBegun,
    Code::TurnedReady,
    Code::TurnedUnready,
    Code::RulesInForce,
    Code::RulesUnreadable,
    Code::RulesLost,
    Code::RulesBack,
    Code::ServersLost,
    Code::ServersBack,
];

/// A request, its cause, and the lines that show it.
#[derive(Debug, Clone, PartialEq)]
pub struct Diagnosis<'a> {
    /// The line of the request at its end.
    pub request: &'a LogLine,
    /// Why it ended so.
    pub cause: String,
    /// Lines that bear on it, the request's own among them, in the order of `lines`.
    pub evidence: Vec<&'a LogLine>,
}

/// What became of the request `id`; none where no line tells. `lines` are those of all
/// routers in the order of time.
pub fn diagnose<'a>(lines: &'a [LogLine], id: &str) -> Option<Diagnosis<'a>> {
    let request = lines.iter().find(|it| it.ends_request(id))?;
    let view = View { lines, request };
    let evidence = lines.iter().filter(|it| view.bears_on(it)).collect();
    Some(Diagnosis { request, cause: view.cause(), evidence })
}

/// A request among the lines of all routers.
struct View<'a> {
    lines: &'a [LogLine],
    request: &'a LogLine,
}

impl View<'_> {
    fn bears_on(&self, line: &LogLine) -> bool {
        let request = self.request;
        let own = line.str_field("request").is_some()
            && line.str_field("request") == request.str_field("request");
        let is = |code: &Code| code.number() == line.number;
        let here = line.instance == request.instance && line.is_near(request.at, BEFORE);
        let before = here && line.at <= request.at && ROUTER_EVENTS.iter().any(is);
        let server = line.str_field("server");
        let tried = server.is_some() && request.attempts().any(|(it, _)| Some(it) == server);
        own || before || (tried && self.is_near(line))
    }

    fn cause(&self) -> String {
        let request = self.request;
        let reason = request.str_field("reason").unwrap_or_default();
        match reason {
            "no_rules" => self.no_rules(),
            "no_organisation" => self.denied("holds no such key"),
            "no_route" => self.denied("has no route for this host and path"),
            "no_server" => self.no_server(),
            "no_room" => format!("all servers were full; {}", self.alike(reason)),
            "shed" => "the one server that the route allows refused it".to_owned(),
            "crashes" => "this very request had crashed backend servers".to_owned(),
            "leaving" => "its router was stopping".to_owned(),
            "too_late" => "no time was left when it could be sent".to_owned(),
            "server_failed" | "timed_out" | "broken" | "stalled" => self.server_failed(),
            "closed" => "the caller left before the end of its answer".to_owned(),
            _ if request.u64_field("status").is_some_and(|it| it >= 500) => {
                "the backend server answered with an error of its own".to_owned()
            }
            _ if request.str_field("outcome") == Some("done") => "it was answered".to_owned(),
            _ => format!("refused as {reason}"),
        }
    }

    /// The rules were too old, or never read.
    fn no_rules(&self) -> String {
        let request = self.request;
        let Some(lost) = self.last_here(Code::RulesLost) else {
            return match request.u64_field("rules") {
                Some(0) | None => "its router had not read any rules yet".to_owned(),
                Some(_) => {
                    "its router had not confirmed the rules, perhaps it stood still".to_owned()
                }
            };
        };
        let error = lost.str_field("error").unwrap_or("no error told");
        let whose = match self.others_without_rules() {
            0 => "no other router says so: look at the way of this one".to_owned(),
            count => format!("so did {count} other routers: look at the store"),
        };
        let age = request.u64_field("rules_age_ms").unwrap_or_default();
        format!("the store did not tell the rules ({error}), they were {age} ms old; {whose}")
    }

    /// Other routers that the store did not tell the rules when the request came.
    fn others_without_rules(&self) -> usize {
        let mut lost: BTreeMap<&str, bool> = BTreeMap::new();
        for it in self.lines.iter().filter(|it| it.at <= self.request.at) {
            if it.number == Code::RulesLost.number() || it.number == Code::RulesBack.number() {
                lost.insert(&it.instance, it.number == Code::RulesLost.number());
            }
        }
        lost.remove(self.request.instance.as_str());
        lost.into_values().filter(|lost| *lost).count()
    }

    fn no_server(&self) -> String {
        let alone = |it: &&LogLine| {
            let here = it.instance == self.request.instance && it.at <= self.request.at;
            here && it.number == Code::ServerUnreached.number() && self.is_near(it)
        };
        let alone = self.lines.iter().filter(alone).filter_map(|it| it.str_field("server"));
        let names: BTreeSet<&str> = alone.collect();
        let names: Vec<&str> = names.into_iter().collect();
        match names.as_slice() {
            [] => "no backend server of its service was known".to_owned(),
            _ => format!(
                "no backend server could be used; left alone after failures: {}",
                names.join(", ")
            ),
        }
    }

    fn denied(&self, why: &str) -> String {
        let version = self.request.u64_field("rules").unwrap_or_default();
        let age = self.request.u64_field("rules_age_ms").unwrap_or_default();
        format!("version {version} of the rules, confirmed {age} ms before, {why}")
    }

    /// Judges the server of the last try by its other requests, at all routers.
    fn server_failed(&self) -> String {
        let Some((server, result)) = self.request.attempts().last() else {
            return "it was never sent".to_owned();
        };
        let died = self.lines.iter().any(|it| {
            let death = it.number == Code::ServerCrashed.number();
            death && it.str_field("server") == Some(server) && self.is_near(it)
        });
        if died {
            return format!("server {server} died while it ran a request ({result})");
        }
        let near = self.lines.iter().filter(|it| self.is_near(it));
        let results = near.flat_map(|it| it.attempts()).filter(|(it, _)| *it == server);
        let (mut good, mut bad) = (0, 0);
        for (_, result) in results {
            let ran = matches!(result, "200" | "stream");
            good += u32::from(ran);
            bad += u32::from(!ran);
        }
        match (good, bad) {
            (0, 1) => {
                format!("server {server} gave no good answer ({result}); nothing else went there")
            }
            (0, _) => {
                format!("server {server} answered nobody around that time ({result}, {bad} tries)")
            }
            (_, 1) => {
                format!("this one answer of server {server} was lost ({result}), {good} went well")
            }
            _ => format!("server {server} failed {bad} of {} tries ({result})", good + bad),
        }
    }

    /// How many requests of the same service ended alike around the same time.
    fn alike(&self, reason: &str) -> String {
        let service = self.request.str_field("service");
        let near = self.lines.iter().filter(|it| self.is_near(it));
        let same = near
            .filter(|it| it.str_field("outcome").is_some() && it.str_field("service") == service);
        let (alike, all) = same.fold((0, 0), |(alike, all), it| {
            (alike + u32::from(it.str_field("reason") == Some(reason)), all + 1)
        });
        format!("so were they for {alike} of {all} requests of this service around that time")
    }

    /// Whether a line is from the time of the request or shortly before or after.
    fn is_near(&self, line: &LogLine) -> bool {
        let took = Duration::from_millis(self.request.u64_field("took_ms").unwrap_or_default());
        line.is_near(self.request.at, took + NEAR)
    }

    /// The last line of the request's router with this event, before the request and
    /// not long ago.
    fn last_here(&self, code: Code) -> Option<&LogLine> {
        let here = self.lines.iter().rev().filter(|it| it.instance == self.request.instance);
        let mut before = here.filter(|it| it.at <= self.request.at);
        before.find(|it| it.number == code.number() && it.is_near(self.request.at, BEFORE))
    }
}
