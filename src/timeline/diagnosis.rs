//! Finds the cause of a request's outcome from router logs alone.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::events::Code;
use crate::timeline::LogLine;

/// Time before and after a request in which events of its servers can explain it.
const SERVER_WINDOW: Duration = Duration::from_secs(3);
/// Time before a request in which events of its router can explain it.
const ROUTER_WINDOW: Duration = Duration::from_secs(15);
/// Result of an attempt whose answer was a stream, however that ended.
const STREAM_ATTEMPT: &str = "stream";
/// Events of a router that affect all its requests.
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

/// The cause of a request's outcome, with the log lines that show it.
#[derive(Debug, Clone, PartialEq)]
pub struct Diagnosis<'a> {
    /// The line that was written when the request ended.
    pub request: &'a LogLine,
    /// Why the request ended as it did.
    pub cause: String,
    /// Lines relevant to the request, its own included, in the order of `lines`.
    pub evidence: Vec<&'a LogLine>,
}

/// Finds the cause of the outcome of request `id`; `None` without a line on its end.
/// `lines` are those of all routers in the order of time.
pub fn diagnose<'a>(lines: &'a [LogLine], id: &str) -> Option<Diagnosis<'a>> {
    let request = lines.iter().find(|it| it.ends_request(id))?;
    let view = View { lines, request };
    let evidence = lines.iter().filter(|it| view.is_relevant(it)).collect();
    Some(Diagnosis { request, cause: view.cause(), evidence })
}

/// A request among the lines of all routers.
struct View<'a> {
    lines: &'a [LogLine],
    request: &'a LogLine,
}

impl View<'_> {
    fn is_relevant(&self, line: &LogLine) -> bool {
        let request = self.request;
        let own = line.str_field("request").is_some()
            && line.str_field("request") == request.str_field("request");
        let is = |code: &Code| code.number() == line.number;
        let here = line.instance == request.instance && line.is_near(request.at, ROUTER_WINDOW);
        let before = here && line.at <= request.at && ROUTER_EVENTS.iter().any(is);
        let server = line.str_field("server");
        let attempted = server.is_some() && request.attempts().any(|(it, _)| Some(it) == server);
        own || before || (attempted && self.is_near(line))
    }

    fn cause(&self) -> String {
        let request = self.request;
        let reason = request.str_field("reason").unwrap_or_default();
        match reason {
            "no_rules" => self.no_rules(),
            "no_organisation" => self.denied("contains no such key"),
            "no_route" => self.denied("has no route for this host and path"),
            "no_server" => self.no_server(),
            "no_room" => {
                format!("all backend servers were full; {}", self.similar_requests(reason))
            }
            "evacuated" => {
                "operators have evacuated the failure domains of all backend servers".to_owned()
            }
            "shed" => "the only backend server that the route allows refused it".to_owned(),
            "crashes" => "this request had crashed backend servers before".to_owned(),
            "part_crashes" => {
                "backend servers had crashed under a part of this request's prompt".to_owned()
            }
            "leaving" => "its router was shutting down".to_owned(),
            "too_late" => "no time remained before its deadline when it could be sent".to_owned(),
            "server_failed" | "timed_out" | "broken" | "stalled" => self.server_failed(),
            "closed" => "the caller disconnected before the end of the response".to_owned(),
            _ if request.u64_field("status").is_some_and(|it| it >= 500) => {
                "the backend server answered with an error status".to_owned()
            }
            _ if request.str_field("outcome") == Some("done") => "it was answered".to_owned(),
            _ => format!("refused as {reason}"),
        }
    }

    /// Explains missing rules: they had expired, or were never read.
    fn no_rules(&self) -> String {
        let request = self.request;
        let Some(lost) = self.last_at_router(Code::RulesLost) else {
            return match request.u64_field("rules") {
                Some(0) | None => "its router had not read any rules yet".to_owned(),
                Some(_) => {
                    "its router had not confirmed the rules in time; it may have been paused"
                        .to_owned()
                }
            };
        };
        let error = lost.str_field("error").unwrap_or("no error logged");
        let advice = match self.others_without_rules() {
            0 => "no other router reports this: check the connection of this router to the store"
                .to_owned(),
            count => format!("{count} other routers report the same: check the store"),
        };
        let age = request.u64_field("rules_age_ms").unwrap_or_default();
        format!("the store did not supply the rules ({error}), they were {age} ms old; {advice}")
    }

    /// Number of other routers without rules from the store when the request arrived.
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
        let is_failure = |it: &&LogLine| {
            let here = it.instance == self.request.instance && it.at <= self.request.at;
            here && it.number == Code::ServerUnreached.number() && self.is_near(it)
        };
        let paused = self.lines.iter().filter(is_failure).filter_map(|it| it.str_field("server"));
        let names: BTreeSet<&str> = paused.collect();
        let names: Vec<&str> = names.into_iter().collect();
        match names.as_slice() {
            [] => "no backend server of its service was known".to_owned(),
            _ => format!(
                "no backend server could be used; paused after failures: {}",
                names.join(", ")
            ),
        }
    }

    fn denied(&self, why: &str) -> String {
        let version = self.request.u64_field("rules").unwrap_or_default();
        let age = self.request.u64_field("rules_age_ms").unwrap_or_default();
        format!("version {version} of the rules, confirmed {age} ms before, {why}")
    }

    /// Compares the last attempt with other requests to the same server at all routers.
    fn server_failed(&self) -> String {
        let Some((server, result)) = self.request.attempts().last() else {
            return "it was never sent to a backend server".to_owned();
        };
        let result = match self.request.str_field("body_end") {
            Some(end) if result == STREAM_ATTEMPT => &format!("stream ended: {end}"),
            _ => result,
        };
        let crashed = self.lines.iter().any(|it| {
            let crash = it.number == Code::ServerCrashed.number();
            crash && it.str_field("server") == Some(server) && self.is_near(it)
        });
        if crashed {
            return format!("server {server} crashed while it ran a request ({result})");
        }
        let near = self.lines.iter().filter(|it| self.is_near(it));
        let results = near.flat_map(attempt_results).filter(|(it, _)| *it == server);
        let (mut succeeded, mut failed) = (0, 0);
        for (_, is_success) in results {
            succeeded += u32::from(is_success);
            failed += u32::from(!is_success);
        }
        match (succeeded, failed) {
            (0, 1) => {
                format!(
                    "server {server} failed this request ({result}) and received no other around that time"
                )
            }
            (0, _) => {
                format!("server {server} failed all {failed} attempts around that time ({result})")
            }
            (_, 1) => {
                format!(
                    "only this response of server {server} was lost ({result}), {succeeded} others succeeded"
                )
            }
            _ => format!(
                "server {server} failed {failed} of {} attempts ({result})",
                succeeded + failed
            ),
        }
    }

    /// Describes how many requests of the same service ended for the same reason around
    /// that time.
    fn similar_requests(&self, reason: &str) -> String {
        let service = self.request.str_field("service");
        let near = self.lines.iter().filter(|it| self.is_near(it));
        let same = near
            .filter(|it| it.str_field("outcome").is_some() && it.str_field("service") == service);
        let (alike, all) = same.fold((0, 0), |(alike, all), it| {
            (alike + u32::from(it.str_field("reason") == Some(reason)), all + 1)
        });
        format!("the same holds for {alike} of {all} requests of this service around that time")
    }

    /// Whether a line was written while the request ran or shortly before or after.
    fn is_near(&self, line: &LogLine) -> bool {
        let took = Duration::from_millis(self.request.u64_field("took_ms").unwrap_or_default());
        line.is_near(self.request.at, took + SERVER_WINDOW)
    }

    /// The last line with this event from the request's router, at most `ROUTER_WINDOW`
    /// before the request.
    fn last_at_router(&self, code: Code) -> Option<&LogLine> {
        let here = self.lines.iter().rev().filter(|it| it.instance == self.request.instance);
        let mut before = here.filter(|it| it.at <= self.request.at);
        before.find(|it| it.number == code.number() && it.is_near(self.request.at, ROUTER_WINDOW))
    }
}

/// The attempts of a request, as server and whether the server answered completely.
fn attempt_results(line: &LogLine) -> impl Iterator<Item = (&str, bool)> {
    let all = line.attempts().count();
    let is_broken = matches!(line.str_field("reason"), Some("broken" | "stalled" | "timed_out"));
    line.attempts().enumerate().map(move |(at, (server, result))| {
        // A stream that was sent again had broken off.
        let is_stream_whole = at + 1 == all && !is_broken;
        (server, result == "200" || (result == STREAM_ATTEMPT && is_stream_whole))
    })
}
