//! Whether the time line explains every refusal that callers saw.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::backend::{ControlHttp, RouterClient};
use crate::clock::SystemClock;
use crate::demo::{Fleet, TrafficResult};
use crate::events::{Code, Event};
use crate::timeline::{Timeline, explain, read, unexplained};
use crate::wire::ApiError;

/// Age that covers a whole demonstration.
const ALL: Duration = Duration::from_secs(3_600);

/// The time line of a fleet beside what its callers were told.
#[derive(Debug)]
pub struct TimelineCheck {
    /// The time line.
    pub timeline: Timeline,
    /// Requests that arrived.
    pub requests: usize,
    /// Refusals that callers were told of.
    pub refused: usize,
    /// What the time line does not explain, or explains in another way than the
    /// callers were told.
    pub unexplained: Vec<String>,
}

impl TimelineCheck {
    /// Reads the time line of `routers` and holds it against `outcomes`.
    pub async fn read(
        fleet: &Fleet,
        routers: &[(String, SocketAddr)],
        outcomes: &[&TrafficResult],
    ) -> TimelineCheck {
        let http = ControlHttp::new(fleet.http.clone(), Arc::default());
        let client = RouterClient::new(http, fleet.token());
        let timeline = read(&client, routers, ALL, &SystemClock).await;
        let faults = outcomes.iter().flat_map(|it| &it.failures);
        let refusals: Vec<_> = faults.filter_map(|it| ApiError::find(it)).collect();
        let differing = refusals.iter().filter_map(|it| difference(&timeline, it));
        let silent = unexplained(&timeline).into_iter().map(|id| format!("{id}: no ending"));
        let unexplained = differing.chain(silent).collect();
        let arrived = |it: &&Event| it.code == Code::RequestReceived.number();
        let requests = timeline.events.iter().filter(arrived).count();
        TimelineCheck { requests, refused: refusals.len(), unexplained, timeline }
    }
}

/// How the explanation of the time line differs from what a caller was told.
fn difference(timeline: &Timeline, told: &ApiError) -> Option<String> {
    let Some(why) = explain(timeline, &told.request) else {
        return Some(format!("{}: no explanation of `{}`", told.request, told.message));
    };
    let same = (why.code, &why.verdict, &why.cause) == (told.event, &told.verdict, &told.message);
    (!same).then(|| format!("{}: told {told:?}, but it is {why:?}", told.request))
}
