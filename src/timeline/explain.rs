//! Explains refused requests from the time line alone.

use std::collections::{BTreeMap, BTreeSet};

use crate::decide::Verdict;
use crate::events::{Code, Event};
use crate::timeline::Timeline;
use crate::timeline::selection::first_id;

plain! {
    /// Why a request has no complete response.
    pub struct Explanation {
        /// Number of the event that ended it.
        pub code: u16,
        /// Verdict that the caller received.
        pub verdict: String,
        /// Detail of the event, without the verdict.
        pub cause: String,
        /// Earlier attempts that failed, as server and fault.
        pub attempts: Vec<String>,
    }
}

/// Explains the refusal of the request `id`; `None` when it was answered or when
/// the time line does not show how it ended. If the request was forwarded to another
/// router that refused it, the events of that router explain it.
pub fn explain(all: &Timeline, id: &str) -> Option<Explanation> {
    let own = explain_at(all, id)?;
    if own.code != Code::RequestRefused.number() {
        return Some(own);
    }
    let forwarded = all.events.iter().find(|it| first_id(it) == Some(id));
    forwarded.and_then(|it| explain_at(all, &it.subject)).or(Some(own))
}

/// Ids of received requests for which the time line shows neither a complete response
/// nor the reason for a missing one.
pub fn unexplained(all: &Timeline) -> Vec<&str> {
    let mut arrived = BTreeMap::new();
    let mut done = BTreeSet::new();
    for it in &all.events {
        if it.code == Code::RequestReceived.number() {
            arrived.insert(it.subject.as_str(), it);
        } else if it.code == Code::RequestDone.number() {
            done.insert(it.subject.as_str());
        }
    }
    let open = arrived.into_keys().filter(|id| !done.contains(id));
    open.filter(|id| explain(all, id).is_none()).collect()
}

fn explain_at(all: &Timeline, id: &str) -> Option<Explanation> {
    let own: Vec<_> = all.events.iter().filter(|it| it.subject == id).collect();
    let (end, (verdict, cause)) = own.iter().rev().find_map(|it| Some((it, ending(it)?)))?;
    let attempts = own.iter().filter(|it| it.code == Code::BackendFailed.number() && it != &end);
    Some(Explanation {
        code: end.code,
        verdict: verdict.to_owned(),
        cause: cause.to_owned(),
        attempts: attempts.map(|it| it.detail.clone()).collect(),
    })
}

/// Verdict and cause of an event that ended a request without a complete response.
fn ending(event: &Event) -> Option<(&str, &str)> {
    let (verdict, cause) = event.detail.split_once(": ")?;
    let known = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
    let is_verdict = known.iter().any(|it| it.as_str() == verdict);
    (is_verdict && event.code >= Code::NoRoom.number()).then_some((verdict, cause))
}
