//! Conversions of the news of prompt parts: times become ages between routers.

use std::time::Instant;

use crate::decide::{AnsweredPart, BlamedPart, CutRun, PartIds, PartNews};
use crate::wire::{
    WireAnsweredPart, WireBlamedPart, WireCutRun, WirePartNews, age_ms, time_of_age,
};

/// Limit of the parts of one run that are taken from another router.
const MAX_PARTS: usize = 32;
/// Limit of the entries of each kind that are taken from one message.
const MAX_ENTRIES: usize = 256;

/// The form of `news` for other routers.
pub(crate) fn part_news_to_wire(news: &PartNews, now: Instant) -> WirePartNews {
    let run = |it: &CutRun| WireCutRun(it.server, it.points, age_ms(it.at, now), it.parts.to_vec());
    WirePartNews {
        runs: news.runs.iter().map(run).collect(),
        answered: news
            .answered
            .iter()
            .map(|it| WireAnsweredPart(it.part, age_ms(it.at, now)))
            .collect(),
        blamed: news
            .blamed
            .iter()
            .map(|it| WireBlamedPart(it.part, age_ms(it.at, now), it.companions.to_vec()))
            .collect(),
    }
}

/// The news that another router sent, with times on the clock of this process. Entries
/// beyond the limits are dropped.
pub(crate) fn part_news_from_wire(wire: WirePartNews, now: Instant) -> PartNews {
    let run = |WireCutRun(server, points, age, parts)| CutRun {
        server,
        points,
        at: time_of_age(age, now).unwrap_or(now),
        parts: bounded(parts),
    };
    // An answer at an unknown time must not end a blame.
    let answered = |WireAnsweredPart(part, age)| {
        let at = time_of_age(age, now)?;
        Some(AnsweredPart { part, at })
    };
    let blamed = |WireBlamedPart(part, age, companions)| BlamedPart {
        part,
        at: time_of_age(age, now).unwrap_or(now),
        companions: bounded(companions),
    };
    PartNews {
        runs: wire.runs.into_iter().take(MAX_ENTRIES).map(run).collect(),
        answered: wire.answered.into_iter().take(MAX_ENTRIES).filter_map(answered).collect(),
        blamed: wire.blamed.into_iter().take(MAX_ENTRIES).map(blamed).collect(),
    }
}

fn bounded(parts: Vec<u64>) -> PartIds {
    parts.into_iter().take(MAX_PARTS).collect()
}
