//! Checks that the time line explains every refusal that callers received.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::backend::{ControlHttp, RouterClient};
use crate::clock::SystemClock;
use crate::demo::{Fleet, TrafficResult};
use crate::events::{Code, Event};
use crate::timeline::{Timeline, explain, read, unexplained};
use crate::wire::ApiError;

/// Age of events that covers a whole demonstration.
const MAX_AGE: Duration = Duration::from_secs(3_600);

/// The time line of a fleet, compared with the refusals that its callers received.
#[derive(Debug)]
pub struct TimelineCheck {
    /// The time line.
    pub timeline: Timeline,
    /// Number of requests that arrived.
    pub requests: usize,
    /// Number of refusals that callers received.
    pub refused: usize,
    /// Requests whose outcome the time line does not explain, or explains differently than
    /// the error that the caller received.
    pub unexplained: Vec<String>,
}

impl TimelineCheck {
    /// Reads the time line of `routers` and compares it with `results`.
    pub async fn read(
        fleet: &Fleet,
        routers: &[(String, SocketAddr)],
        results: &[&TrafficResult],
    ) -> TimelineCheck {
        let http = ControlHttp::new(fleet.http.clone(), Arc::default());
        let client = RouterClient::new(http, fleet.token());
        let timeline = read(&client, routers, MAX_AGE, &SystemClock).await;
        let faults = results.iter().flat_map(|it| &it.failures);
        let refusals: Vec<_> = faults.filter_map(|it| ApiError::find(it)).collect();
        let differing = refusals.iter().filter_map(|it| difference(&timeline, it));
        let unfinished = unexplained(&timeline)
            .into_iter()
            .map(|id| format!("{id}: no event tells the outcome"));
        let unexplained = differing.chain(unfinished).collect();
        let arrived = |it: &&Event| it.code == Code::RequestReceived.number();
        let requests = timeline.events.iter().filter(arrived).count();
        TimelineCheck { requests, refused: refusals.len(), unexplained, timeline }
    }
}

/// How the explanation of the time line differs from the error that a caller received.
fn difference(timeline: &Timeline, received: &ApiError) -> Option<String> {
    let Some(why) = explain(timeline, &received.request) else {
        return Some(format!("{}: no explanation of `{}`", received.request, received.message));
    };
    let same = (why.code, &why.verdict, &why.cause)
        == (received.event, &received.verdict, &received.message);
    (!same).then(|| {
        format!(
            "{}: the caller received {received:?}, but the time line says {why:?}",
            received.request
        )
    })
}
