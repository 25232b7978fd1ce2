//! The time line orders the events of requests over several routers causally and explains
//! every refusal that callers receive.

use std::time::Duration;

use filberttiller::daemon::Daemon;
use filberttiller::demo::{
    Caller, ChatTurn, Fleet, FleetOptions, TimelineCheck, TrafficResult, run_traffic,
};
use filberttiller::events::{Code, Event, HybridTime};
use filberttiller::timeline::{Selection, Timeline, explain, unexplained};
use filberttiller::wire::ApiError;
use rstest::rstest;
use standins::engine::Faults as EngineFaults;
use standins::log::Faults as LogFaults;
use standins::service::Faults as ServiceFaults;

use crate::reservation::{new_key, once_options, reservation, reserve, set_service_faults};
use crate::support::{question, start};

/// How far the clock of one router is ahead of the others.
const CLOCK_SKEW: Duration = Duration::from_secs(1_200);

async fn read_check(fleet: &Fleet, results: &[&TrafficResult]) -> TimelineCheck {
    TimelineCheck::read(fleet, &fleet.control(), results).await
}

/// Moves the hybrid logical clock of a router ahead.
fn advance_clock(router: &Daemon) {
    let ahead = HybridTime::from_wall(std::time::SystemTime::now() + CLOCK_SKEW);
    router.shared().events.observe(&ahead.to_string());
}

/// Position of the last event with `code` at `instance`.
fn position(timeline: &Timeline, code: Code, instance: &str) -> usize {
    let is = |it: &Event| it.code == code.number() && it.instance == instance;
    timeline.events.iter().rposition(is).unwrap_or_else(|| panic!("no {code:?} at {instance}"))
}

#[rstest]
#[case::receiver_ahead(1)]
#[case::owner_ahead(0)]
#[tokio::test]
async fn forwarded_call_in_causal_order(#[case] ahead: usize) {
    let mut options = once_options();
    // Gossip would carry the time to the other routers, too.
    options.settings.state_sync.gossip_every = Duration::from_secs(3_600);
    let fleet = start(options).await;
    let key = new_key(&fleet, fleet.routers[0].address(), true).await;
    advance_clock(&fleet.routers[ahead]);
    let reply = reserve(&fleet, fleet.routers[1].address(), reservation(&key)).await;
    assert!(reply.is("ran", ""), "{reply:?}");
    let timeline = read_check(&fleet, &[]).await.timeline;
    let events = [
        (Code::OnceForwarded, "entry-1"),
        (Code::RequestReceived, "entry-0"),
        (Code::OnceRun, "entry-0"),
        (Code::RequestDone, "entry-0"),
        (Code::RequestDone, "entry-1"),
    ];
    let order = events.map(|(code, instance)| position(&timeline, code, instance));
    assert!(order.is_sorted(), "{order:?}");
}

#[tokio::test]
async fn forwarded_refusal_explained_at_both_routers() {
    let fleet = start(once_options()).await;
    let key = new_key(&fleet, fleet.routers[0].address(), true).await;
    set_service_faults(&fleet, ServiceFaults { refuse: true, ..ServiceFaults::default() });
    let reply = reserve(&fleet, fleet.routers[1].address(), reservation(&key)).await;
    assert!(reply.is("may_have_run", "backend_failed"), "{reply:?}");
    let error = ApiError::find(&reply.body.to_string()).unwrap();
    let timeline = read_check(&fleet, &[]).await.timeline;
    let forwarded = position(&timeline, Code::OnceForwarded, "entry-1");
    let first = timeline.events[forwarded].subject.clone();
    assert_ne!(first, error.request);
    for id in [&first, &error.request] {
        let why = explain(&timeline, id).unwrap();
        assert_eq!(
            (why.code, &why.verdict, &why.cause),
            (error.event, &error.verdict, &error.message)
        );
        let part = Selection::Request(id.clone()).apply(&timeline);
        let routers = part.events.iter().filter(|it| it.code == Code::RequestReceived.number());
        assert_eq!(routers.count(), 2, "both routers received the request");
    }
}

#[tokio::test]
async fn cut_stream_explained() {
    let fleet =
        start(FleetOptions { routers: 1, engines: 1, canaries: 0, ..FleetOptions::default() })
            .await;
    fleet.engines[0].set_faults(EngineFaults { cut_after: Some(2), ..EngineFaults::default() });
    let messages = question("which reeds");
    let turn = ChatTurn { messages: &messages, tokens: 8, stream: true };
    let mut caller = Caller::new(&fleet.http, "dalisay", "c1");
    let fault = caller.send(fleet.routers[0].address(), &turn).await.unwrap_err();
    let result = TrafficResult { failures: vec![fault], ..TrafficResult::default() };
    let check = read_check(&fleet, &[&result]).await;
    assert_eq!((check.requests, check.refused), (1, 1));
    assert_eq!(check.unexplained, Vec::<String>::new());
    let cut = position(&check.timeline, Code::StreamCut, "entry-0");
    let why = explain(&check.timeline, &check.timeline.events[cut].subject).unwrap();
    assert_eq!((why.code, why.verdict.as_str()), (Code::StreamCut.number(), "may_have_run"));
}

#[tokio::test]
async fn unexplained_names_request_without_end() {
    let fleet = start(once_options()).await;
    let reply = reserve(&fleet, fleet.routers[1].address(), reservation("order-17")).await;
    assert!(reply.is("ran", ""), "{reply:?}");
    let mut timeline = read_check(&fleet, &[]).await.timeline;
    assert_eq!(unexplained(&timeline), Vec::<&str>::new());
    let last =
        timeline.events.iter().rposition(|it| it.code == Code::RequestDone.number()).unwrap();
    let request = timeline.events.remove(last).subject;
    assert_eq!(unexplained(&timeline), [request]);
}

#[tokio::test]
async fn demo_with_faults_explained() {
    let fleet = start(FleetOptions::default()).await;
    let refuse = EngineFaults { refuse: true, ..EngineFaults::default() };
    fleet.engines[0].set_faults(refuse.clone());
    fleet.engines[1].set_faults(EngineFaults { cut_after: Some(3), ..EngineFaults::default() });
    fleet.engines[2].set_faults(EngineFaults { wrong_id: true, ..EngineFaults::default() });
    let first = run_traffic(&fleet, 1, 40).await;
    set_service_faults(&fleet, ServiceFaults { refuse: true, ..ServiceFaults::default() });
    fleet.move_model().await.unwrap();
    fleet.canaries.iter().for_each(|it| it.set_faults(refuse.clone()));
    let moved = run_traffic(&fleet, 2, 20).await;
    let check = read_check(&fleet, &[&first, &moved]).await;
    assert_eq!(check.unexplained, Vec::<String>::new());
    let calls = first.requests + first.reservations + moved.requests + moved.reservations;
    assert!(check.requests >= calls, "{} of {calls} calls arrived", check.requests);
    assert_eq!(moved.failures.iter().filter(|it| it.contains("turn")).count(), moved.requests);
    assert!(check.refused >= moved.requests, "{} refused", check.refused);
}

#[tokio::test]
async fn log_outage_recorded_at_first_append() {
    let mut options = once_options();
    // Reads of the log stay open for the whole test, so only an append notices the outage.
    options.settings.state_sync.log_wait = Duration::from_secs(3_600);
    let fleet = start(options).await;
    let router = fleet.routers[0].address();
    assert!(reserve(&fleet, router, reservation("first")).await.is("ran", ""));
    fleet.log.set_faults(LogFaults { appends_out: true, ..LogFaults::default() });
    let reply = reserve(&fleet, router, reservation("second")).await;
    assert_eq!(reply.reason, "claims_unavailable", "{reply:?}");
    let next_reply = reserve(&fleet, router, reservation("third")).await;
    assert_eq!(next_reply.reason, "claims_unavailable", "{next_reply:?}");
    let timeline = read_check(&fleet, &[]).await.timeline;
    let count = |code: Code| timeline.events.iter().filter(|it| it.code == code.number()).count();
    assert_eq!(count(Code::AppendFailed), 1);
    let id = ApiError::find(&reply.body.to_string()).unwrap().request;
    let part = Selection::Request(id).apply(&timeline);
    assert!(position(&part, Code::AppendFailed, "entry-0") > 0);
    fleet.log.set_faults(LogFaults::default());
    assert!(reserve(&fleet, router, reservation("fourth")).await.is("ran", ""));
    let timeline = read_check(&fleet, &[]).await.timeline;
    position(&timeline, Code::AppendTaken, "entry-0");
}
