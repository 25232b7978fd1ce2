//! Why a request was refused, from the time line alone.

use std::collections::{BTreeMap, BTreeSet};

use crate::decide::Verdict;
use crate::events::{Code, Event};
use crate::timeline::Timeline;
use crate::timeline::selection::first_id;

plain! {
    /// Why a request has no whole answer.
    pub struct Explanation {
        /// Event that ended it.
        pub code: u16,
        /// Verdict that the caller was told.
        pub verdict: String,
        /// What the event says.
        pub cause: String,
        /// Tries that failed before, as server and fault.
        pub attempts: Vec<String>,
    }
}

/// Explains the refusal of the request `id`; `None` when the time line does not
/// tell how it ended or when it was answered. A refusal of another router that
/// the request was sent on to is explained by the events there.
pub fn explain(all: &Timeline, id: &str) -> Option<Explanation> {
    let told = explain_at(all, id)?;
    if told.code != Code::RequestRefused.number() {
        return Some(told);
    }
    let sent = all.events.iter().find(|it| first_id(it) == Some(id));
    sent.and_then(|it| explain_at(all, &it.subject)).or(Some(told))
}

/// Ids of requests that arrived and of which the time line tells neither a whole
/// answer nor why there is none.
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

/// Verdict and cause of an event that ended a request without whole answer.
fn ending(event: &Event) -> Option<(&str, &str)> {
    let (verdict, cause) = event.detail.split_once(": ")?;
    let known = [Verdict::NotRun, Verdict::MayHaveRun, Verdict::Ran];
    let is_verdict = known.iter().any(|it| it.as_str() == verdict);
    (is_verdict && event.code >= Code::NoRoom.number()).then_some((verdict, cause))
}
