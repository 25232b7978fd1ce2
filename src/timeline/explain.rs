//! Why a request was refused, from the time line alone.

use crate::events::Code;
use crate::timeline::{Selection, Timeline};

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
        pub tries: Vec<String>,
    }
}

/// Explains the refusal of the request `id`; `None` when the time line does not
/// tell how it ended or when it was answered.
pub fn explain(all: &Timeline, id: &str) -> Option<Explanation> {
    let story = Selection::Request(id.to_owned()).apply(all).events;
    let own: Vec<_> = story.iter().filter(|it| it.subject == id).collect();
    let end = own.iter().rev().find(|it| {
        it.code >= Code::NoRoom.number()
            && ["not_run: ", "may_have_run: "].iter().any(|verdict| it.detail.starts_with(verdict))
    })?;
    let (verdict, cause) = end.detail.split_once(": ")?;
    let tries = own.iter().filter(|it| it.code == Code::BackendFailed.number() && it != &end);
    Some(Explanation {
        code: end.code,
        verdict: verdict.to_owned(),
        cause: cause.to_owned(),
        tries: tries.map(|it| it.detail.clone()).collect(),
    })
}
