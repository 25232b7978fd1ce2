//! Load generator: schedule, options, outcomes and runs against a fleet.

use std::collections::BTreeSet;
use std::time::Duration;

use filberttiller::daemon::Daemon;
use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::events::Code;
use filberttiller::load::{
    Kind, LoadOptions, LoadReport, LoadStats, RequestOutcome, Schedule, ScheduledRequest, html, run,
};
use rstest::rstest;
use serde_json::Value;

fn options() -> LoadOptions {
    LoadOptions { routers: vec!["127.0.0.1:1".parse().unwrap()], ..LoadOptions::default() }
}

#[test]
fn schedule_repeats_for_seed() {
    let schedule = |seed| -> Vec<ScheduledRequest> {
        Schedule::new(&LoadOptions { seed, ..options() }).collect()
    };
    assert_eq!(schedule(7), schedule(7));
    assert_ne!(schedule(7), schedule(8));
}

#[test]
fn schedule_within_rate_and_time() {
    let options = LoadOptions { rate: 200.0, time: Duration::from_secs(60), ..options() };
    let requests: Vec<_> = Schedule::new(&options).collect();
    assert!(requests.is_sorted_by_key(|it| it.at));
    assert!(requests.iter().all(|it| it.at < options.time));
    // A Poisson count of mean 12,000 is within six standard deviations.
    assert!(requests.len().abs_diff(12_000) < 660, "{}", requests.len());
    for kind in Kind::ALL {
        assert!(requests.iter().any(|it| it.kind == kind));
    }
    for organisation in 0..options.organisations {
        assert!(requests.iter().any(|it| it.organisation == organisation));
    }
}

#[rstest]
#[case::no_router(LoadOptions { routers: Vec::new(), ..options() }, "no router")]
#[case::no_rate(LoadOptions { rate: 0.0, ..options() }, "rate")]
#[case::too_long(LoadOptions { time: Duration::from_secs(601), ..options() }, "time")]
#[case::share(LoadOptions { once: 1.5, ..options() }, "shares")]
#[case::not_loopback(
    LoadOptions { routers: vec!["192.0.2.1:80".parse().unwrap()], ..options() },
    "not on loopback"
)]
fn check_invalid_options(#[case] options: LoadOptions, #[case] part: &str) {
    let fault = options.check().unwrap_err().to_string();
    assert!(fault.contains(part), "{fault}");
}

#[rstest]
#[case::not_run(r#"503: {"error":{"verdict":"not_run"}}"#, RequestOutcome::NotRun)]
#[case::may_have_run(r#"502: {"error":{"verdict":"may_have_run"}}"#, RequestOutcome::MayHaveRun)]
#[case::wrong("wrong: not the one", RequestOutcome::Wrong)]
#[case::no_answer("connection refused", RequestOutcome::NoAnswer)]
fn outcome_of_fault(#[case] fault: &str, #[case] outcome: RequestOutcome) {
    assert_eq!(RequestOutcome::of(fault), outcome);
}

#[test]
fn stats_count_late_start() {
    let mut stats = LoadStats::default();
    let at = Duration::from_secs(3);
    stats.add(Kind::Whole, at, Duration::from_millis(1_500), RequestOutcome::Good, "");
    stats.add(Kind::Whole, at, Duration::ZERO, RequestOutcome::Wrong, "other answer");
    let report = LoadReport::new(&options(), &stats);
    assert!(!report.is_good());
    let median = report.latencies[0].points.iter().find(|it| it.0 == 0.5).unwrap().1;
    assert!((median - 1_500.0).abs() < 15.0, "{median}");
    assert_eq!((report.seconds[0].at, report.latencies[0].count), (3, 1));
    assert!(report.to_string().contains("other answer"));
}

async fn fleet() -> Fleet {
    let options = FleetOptions { routers: 2, engines: 3, canaries: 1, ..FleetOptions::default() };
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    fleet
}

fn load_options(fleet: &Fleet) -> LoadOptions {
    let routers = fleet.routers.iter().map(|it| it.address()).collect();
    let time = Duration::from_secs(2);
    LoadOptions { routers, rate: 40.0, time, ..LoadOptions::default() }
}

#[tokio::test]
async fn run_checks_every_answer() {
    let fleet = fleet().await;
    let options = load_options(&fleet);
    let stats = run(&options).await.unwrap();
    let sent = Schedule::new(&options).count() as u64;
    let report = LoadReport::new(&options, &stats);
    assert_eq!(stats.count(RequestOutcome::Good), sent, "{report}");
    assert!(report.is_good());
    let page = html(&report);
    let data = page.split("type=\"application/json\">").nth(1).unwrap();
    let data: Value = serde_json::from_str(data.split("</script>").next().unwrap()).unwrap();
    assert_eq!(data["fates"]["good"], sent);
    assert_eq!(fleet.services[0].max_runs().0, 1);
}

#[tokio::test]
async fn run_counts_wrong_and_refused() {
    let fleet = fleet().await;
    let cut_streams = standins::engine::Faults { cut_after: Some(2), ..Default::default() };
    fleet.engines.iter().for_each(|it| it.set_faults(cut_streams.clone()));
    fleet.services.iter().for_each(|it| {
        it.set_faults(standins::service::Faults { refuse: true, ..Default::default() });
    });
    let options = load_options(&fleet);
    let stats = run(&options).await.unwrap();
    let report = LoadReport::new(&options, &stats);
    assert!(!report.kinds["stream"].contains_key(&RequestOutcome::Good), "{report}");
    assert!(!report.kinds["once"].contains_key(&RequestOutcome::Good), "{report}");
}

#[tokio::test]
async fn run_uses_other_addresses() {
    let mut options =
        FleetOptions { routers: 3, engines: 3, canaries: 0, ..FleetOptions::default() };
    // Without gossip, the remaining routers do not learn that one has stopped and still give
    // its address to callers.
    options.settings.state_sync.gossip_every = Duration::from_secs(3_600);
    let mut fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    let options = load_options(&fleet);
    drop(fleet.routers.remove(0));
    let names_stopped = |it: &Daemon| {
        it.shared().view.peek().routers.iter().any(|it| it.address == options.routers[0])
    };
    assert!(fleet.routers.iter().all(names_stopped), "the stopped router is not named");
    let stats = run(&options).await.unwrap();
    let sent = Schedule::new(&options).count() as u64;
    assert_eq!(stats.count(RequestOutcome::Good), sent, "{}", LoadReport::new(&options, &stats));
}

#[rstest]
#[case::expired(1, true)]
#[case::valid(300, false)]
#[tokio::test]
async fn run_refreshes_expired_addresses(#[case] ttl_s: u64, #[case] refreshes: bool) {
    let mut options =
        FleetOptions { routers: 1, engines: 3, canaries: 0, ..FleetOptions::default() };
    options.settings.traffic.entry_ttl = Duration::from_secs(ttl_s);
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    let time = Duration::from_secs(3);
    let options = LoadOptions { time, returning: 1.0, once: 0.0, ..load_options(&fleet) };
    run(&options).await.unwrap();
    let events = fleet.routers[0].shared().events.since(0);
    let answered: Vec<_> = events
        .iter()
        .filter(|it| it.code == Code::EntryAnswered.number())
        .map(|it| it.detail.clone())
        .collect();
    let chats: BTreeSet<_> = answered.iter().collect();
    assert_eq!(
        answered.len() > chats.len(),
        refreshes,
        "{} answers for {} chats",
        answered.len(),
        chats.len()
    );
}
