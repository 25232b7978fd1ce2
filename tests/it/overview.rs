//! The status of the fleet on one screen.

use std::collections::BTreeMap;
use std::sync::Arc;

use filberttiller::backend::{ControlHttp, RouterClient};
use filberttiller::demo::FleetOptions;
use filberttiller::overview::{FleetStatus, screen};
use filberttiller::wire::{WireEngine, WireStatus};
use rstest::rstest;

use crate::support::start;

/// Control budget that differs from every default.
const BUDGET: u64 = 5_432;

fn status(up_ms: u64, control_bytes: u64) -> WireStatus {
    WireStatus {
        instance: "entry-0".to_owned(),
        domain: "luzon-a".to_owned(),
        ready: true,
        leaving: false,
        next: 1,
        up_ms,
        in_flight: 0,
        requests: Vec::new(),
        prompt_tokens: 0,
        cached_tokens: 0,
        spilled: 0,
        control_bytes,
        control_budget: BUDGET,
        items: Vec::new(),
        suspects: Vec::new(),
        engines: Vec::new(),
    }
}

fn fleet_status(status: WireStatus) -> FleetStatus {
    FleetStatus {
        routers: BTreeMap::from([(status.instance.clone(), status)]),
        ..FleetStatus::default()
    }
}

#[rstest]
#[case::since_poll(Some(status(1_000, 7_000)), "1000/5432")]
#[case::since_start(None, "4000/5432")]
#[case::restarted(Some(status(9_000, 70_000)), "4000/5432")]
#[case::above(Some(status(1_000, 2_000)), "6000!/5432")]
fn screen_shows_control_rate(#[case] before: Option<WireStatus>, #[case] rate: &str) {
    let before = before.map(fleet_status).unwrap_or_default();
    let text = screen(&fleet_status(status(2_000, 8_000)), &before);
    assert!(text.lines().nth(1).unwrap().ends_with(rate), "{text}");
}

#[rstest]
#[case::below(2_000.0, "50%")]
#[case::above(6_000.0, "150%!")]
#[case::small(900.0, "-")]
fn screen_shows_load_of_bound(#[case] load: f64, #[case] share: &str) {
    let engine = WireEngine {
        name: "llm-1".to_owned(),
        pool: "llm".to_owned(),
        leaving: false,
        load,
        bound: 4_000.0,
    };
    let text = screen(
        &fleet_status(WireStatus { engines: vec![engine], ..status(1, 1) }),
        &FleetStatus::default(),
    );
    let line = text.lines().find(|it| it.starts_with("llm-1")).unwrap();
    assert!(line.split_whitespace().any(|it| it == share), "{line}");
    assert!(line.ends_with("1 of 1"), "{line}");
}

#[tokio::test]
async fn poll_reports_unreachable_and_budget() {
    let mut options =
        FleetOptions { routers: 3, engines: 2, canaries: 0, ..FleetOptions::default() };
    options.settings.state_sync.budget = bytesize::ByteSize(BUDGET);
    let mut fleet = start(options).await;
    let routers = fleet.control();
    let http = ControlHttp::new(fleet.http.clone(), Arc::default());
    let client = RouterClient::new(http, fleet.token());
    let first = FleetStatus::poll(&client, &routers).await;
    assert_eq!((first.routers.len(), first.unreachable.len()), (3, 0));
    drop(fleet.routers.remove(1));
    let second = FleetStatus::poll(&client, &routers).await;
    assert_eq!(second.unreachable.keys().collect::<Vec<_>>(), ["entry-1"]);
    let text = screen(&second, &first);
    let lines: Vec<_> = text.lines().filter(|it| it.starts_with("entry-")).collect();
    assert_eq!(lines.len(), 3);
    assert_eq!(lines.iter().filter(|it| it.ends_with("/5432")).count(), 2, "{text}");
    assert!(lines[2].starts_with("entry-1") && lines[2].contains("unreachable: "), "{text}");
    assert!(text.contains("assistant-llm-0") && text.contains("2 of 2"), "{text}");
}
