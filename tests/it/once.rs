//! Keys of the fleet and calls that may not be repeated.

use std::net::SocketAddr;
use std::time::Duration;

use filberttiller::daemon::Daemon;
use filberttiller::demo::{Ask, Caller, Fleet, FleetOptions};
use filberttiller::events::Code;
use filberttiller::filters::{DEADLINE_HEADER, KEY_HEADER, ORGANISATION_HEADER, VERDICT_HEADER};
use filberttiller::keys::{
    IssuedKey, KeyError, KeyRing, read_hint, read_key, write_hint, write_key,
};
use filberttiller::settings::FleetKey;
use filberttiller::wire::NewKey;
use futures_util::future::join_all;
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use serde_json::{Value, json};
use standins::log::Faults as LogFaults;
use standins::service::Faults as ServiceFaults;

/// Where a failing case would be noted; the seeds are fixed in place of it.
fn fixed() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

fn ring(secrets: &[&str]) -> KeyRing {
    let key = |it: &&str| FleetKey { id: String::new(), secret: (*it).to_owned() };
    KeyRing::new(&secrets.iter().map(key).collect::<Vec<_>>(), "the-token-of-the-fleet")
}

const KEY: IssuedKey = IssuedKey { router: 3, incarnation: 4, issued_ms: 5 };

#[rstest]
#[case::same(&["old-secret-of-fleet"], true)]
#[case::new_added(&["old-secret-of-fleet", "new-secret-of-fleet"], true)]
#[case::new_first(&["new-secret-of-fleet", "old-secret-of-fleet"], true)]
#[case::old_removed(&["new-secret-of-fleet"], false)]
#[case::none_set(&[], false)]
fn ring_rotates(#[case] secrets: &[&str], #[case] good: bool) {
    let hint = write_hint(&ring(&["old-secret-of-fleet"]), 9, 1, 2);
    let key = write_key(&ring(&["old-secret-of-fleet"]), "dalisay", &KEY);
    let ring = ring(secrets);
    assert_eq!(read_hint(&ring, 9, &hint), good.then_some((1, 2)));
    let expected = if good { Ok(KEY) } else { Err(KeyError::Code) };
    assert_eq!(read_key(&ring, "dalisay", &key), Some(expected));
}

#[test]
fn hint_of_other_chat_refused() {
    let ring = ring(&[]);
    let hint = write_hint(&ring, 9, 1, 2);
    assert_eq!(read_hint(&ring, 9, &hint), Some((1, 2)));
    assert_eq!(read_hint(&ring, 10, &hint), None);
}

#[test]
fn key_of_other_organisation_refused() {
    let ring = ring(&[]);
    let key = write_key(&ring, "dalisay", &KEY);
    assert_eq!(read_key(&ring, "dalisay", &format!("{key}.order-17")), Some(Ok(KEY)));
    assert_eq!(read_key(&ring, "pierscionkowo", &key), Some(Err(KeyError::Code)));
    assert_eq!(read_key(&ring, "dalisay", "order-17"), None);
    assert_eq!(read_key(&ring, "dalisay", "fk1.order-17"), Some(Err(KeyError::Form)));
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn decoders_take_anything(text in any::<String>(), chat in any::<u64>()) {
        let ring = ring(&[]);
        prop_assert!(read_hint(&ring, chat, &text).is_none());
        let key = format!("fk1.{text}");
        prop_assert!(matches!(read_key(&ring, "dalisay", &key), Some(Err(_))));
        let _ = read_key(&ring, "dalisay", &text);
    }

    #[test]
    fn changed_byte_refused(at in 0usize..32, byte in any::<u8>()) {
        let ring = ring(&[]);
        let hint = write_hint(&ring, 9, 1, 2);
        let mut bytes = hint.clone().into_bytes();
        bytes[at] = byte;
        let changed = String::from_utf8_lossy(&bytes).into_owned();
        prop_assert!(changed == hint || read_hint(&ring, 9, &changed).is_none());
    }
}

/// What a caller was told.
#[derive(Debug, Clone, PartialEq)]
struct Told {
    status: u16,
    verdict: String,
    /// Reason of an error, else empty.
    reason: String,
    retry: bool,
    body: Value,
}

impl Told {
    fn is(&self, verdict: &str, reason: &str) -> bool {
        self.verdict == verdict && self.reason == reason
    }
}

/// One reservation.
#[derive(Debug, Clone, Copy)]
struct Order<'a> {
    key: Option<&'a str>,
    quantity: u32,
    deadline_ms: u64,
}

fn order(key: &str) -> Order<'_> {
    Order { key: Some(key), quantity: 1, deadline_ms: 20_000 }
}

async fn reserve(fleet: &Fleet, router: SocketAddr, order: Order<'_>) -> Told {
    let mut request = fleet
        .http
        .post(format!("http://{router}/v1/services/stockroom/reservations"))
        .header(ORGANISATION_HEADER, "dalisay")
        .header(DEADLINE_HEADER, order.deadline_ms)
        .json(&json!({ "item": "reed-8", "quantity": order.quantity }));
    if let Some(key) = order.key {
        request = request.header(KEY_HEADER, key);
    }
    let Ok(reply) = request.send().await else {
        return Told {
            status: 0,
            verdict: "may_have_run".to_owned(),
            reason: "no_answer".to_owned(),
            retry: false,
            body: Value::Null,
        };
    };
    let status = reply.status().as_u16();
    let header = |name: &str| reply.headers().get(name).map(|it| it.to_str().unwrap().to_owned());
    let (verdict, retry) = (header(VERDICT_HEADER).unwrap(), header("retry-after").is_some());
    let body: Value = reply.json().await.unwrap();
    let reason = body["error"]["reason"].as_str().unwrap_or_default().to_owned();
    Told { status, verdict, reason, retry, body }
}

fn once_options() -> FleetOptions {
    let mut options =
        FleetOptions { routers: 3, engines: 1, canaries: 0, ..FleetOptions::default() };
    options.settings.upkeep.list_every = Duration::from_millis(50);
    options
}

async fn once_fleet(options: FleetOptions) -> Fleet {
    let fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first().await.unwrap();
    fleet
}

fn addrs(fleet: &Fleet) -> Vec<SocketAddr> {
    fleet.routers.iter().map(|it| it.address()).collect()
}

/// A key of the caller, or one that the router at `addr` issues.
async fn key(fleet: &Fleet, addr: SocketAddr, issued: bool) -> String {
    if !issued {
        return "order-17".to_owned();
    }
    let request = fleet.http.post(format!("http://{addr}/v1/keys"));
    let reply = request.header(ORGANISATION_HEADER, "dalisay").send().await.unwrap();
    format!("{}.order-17", reply.json::<NewKey>().await.unwrap().key)
}

fn set_service(fleet: &Fleet, faults: ServiceFaults) {
    fleet.services[0].set_faults(faults);
}

#[rstest]
#[tokio::test]
async fn repeat_gets_first_answer(#[values(false, true)] issued: bool) {
    let fleet = once_fleet(once_options()).await;
    let key = key(&fleet, addrs(&fleet)[0], issued).await;
    let first = reserve(&fleet, addrs(&fleet)[1], order(&key)).await;
    assert!(first.is("ran", ""), "{first:?}");
    for addr in addrs(&fleet) {
        assert_eq!(reserve(&fleet, addr, order(&key)).await, first);
    }
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[rstest]
#[tokio::test]
async fn lost_reply_never_runs_again(
    #[values(false, true)] issued: bool,
    #[values(false, true)] cut: bool,
) {
    let fleet = once_fleet(once_options()).await;
    let key = key(&fleet, addrs(&fleet)[0], issued).await;
    let (lost_replies, cut_replies) = if cut { (0, 1) } else { (1, 0) };
    set_service(&fleet, ServiceFaults { lost_replies, cut_replies, ..ServiceFaults::default() });
    let first = reserve(&fleet, addrs(&fleet)[0], Order { deadline_ms: 500, ..order(&key) }).await;
    assert_eq!(first.verdict, "may_have_run", "{first:?}");
    for addr in addrs(&fleet) {
        let told = reserve(&fleet, addr, order(&key)).await;
        assert!(told.is("may_have_run", "outcome_unknown"), "{told:?}");
    }
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[rstest]
#[tokio::test]
async fn resend_while_running_waits(#[values(false, true)] issued: bool) {
    let fleet = once_fleet(once_options()).await;
    let key = key(&fleet, addrs(&fleet)[0], issued).await;
    set_service(&fleet, ServiceFaults { delay_ms: 1_500, ..ServiceFaults::default() });
    let all = addrs(&fleet);
    let (first, second, short) = tokio::join!(
        reserve(&fleet, all[0], order(&key)),
        reserve(&fleet, all[1], order(&key)),
        async {
            fleet
                .wait_until(|it| {
                    let ran = |r: &Daemon| r.shared().events.since(0).iter().any(|e| e.code == 600);
                    it.routers.iter().any(ran)
                })
                .await;
            reserve(&fleet, all[2], Order { deadline_ms: 100, ..order(&key) }).await
        },
    );
    assert!(first.is("ran", ""), "{first:?}");
    assert_eq!(second, first);
    assert_eq!(short.verdict, "may_have_run", "{short:?}");
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[rstest]
#[tokio::test]
async fn key_with_other_body_refused(#[values(false, true)] issued: bool) {
    let fleet = once_fleet(once_options()).await;
    let key = key(&fleet, addrs(&fleet)[0], issued).await;
    assert!(reserve(&fleet, addrs(&fleet)[0], order(&key)).await.is("ran", ""));
    for addr in addrs(&fleet) {
        let told = reserve(&fleet, addr, Order { quantity: 2, ..order(&key) }).await;
        assert!(told.is("not_run", "key_reused"), "{told:?}");
        assert_eq!(told.status, 422);
    }
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[tokio::test]
async fn log_outage_served() {
    let fleet = once_fleet(once_options()).await;
    let all = addrs(&fleet);
    let before = reserve(&fleet, all[0], order("before")).await;
    fleet.log.set_faults(LogFaults { out: true, ..LogFaults::default() });
    let issued = key(&fleet, all[0], true).await;
    assert!(reserve(&fleet, all[1], order(&issued)).await.is("ran", ""));
    for addr in &all {
        assert_eq!(reserve(&fleet, *addr, order("before")).await, before);
        let told = reserve(&fleet, *addr, order("during")).await;
        assert!(told.is("not_run", "claims_unavailable") && told.retry, "{told:?}");
    }
    assert_eq!(fleet.services[0].runs("during"), 0);
    fleet.log.set_faults(LogFaults::default());
    let after = reserve(&fleet, all[0], order("during")).await;
    assert!(after.verdict == "ran" || after.reason == "claims_unavailable", "{after:?}");
}

#[tokio::test]
async fn lost_append_reply_resolved() {
    let fleet = once_fleet(once_options()).await;
    fleet.log.set_faults(LogFaults { lost_replies: 2, ..LogFaults::default() });
    for (i, addr) in addrs(&fleet).into_iter().enumerate() {
        let key = format!("order-{i}");
        let told = reserve(&fleet, addr, order(&key)).await;
        assert!(told.is("ran", ""), "{told:?}");
        assert_eq!(fleet.services[0].runs(&key), 1);
    }
}

#[rstest]
#[tokio::test]
async fn owner_gone_may_have_run(
    #[values(false, true)] issued: bool,
    #[values(false, true)] restarted: bool,
) {
    let mut fleet = once_fleet(once_options()).await;
    let owner = addrs(&fleet)[2];
    let key = key(&fleet, owner, issued).await;
    assert!(reserve(&fleet, owner, order(&key)).await.is("ran", ""));
    drop(fleet.routers.pop());
    if restarted {
        fleet.add_router().unwrap();
        fleet.wait_until(|it| it.routers[2].shared().view.peek().ready).await;
    }
    for addr in addrs(&fleet) {
        let told = reserve(&fleet, addr, order(&key)).await;
        assert_eq!(told.verdict, "may_have_run", "{told:?}");
    }
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[rstest]
#[tokio::test]
async fn all_restarted_never_run_again(#[values(false, true)] issued: bool) {
    let mut fleet = once_fleet(once_options()).await;
    let key = key(&fleet, addrs(&fleet)[0], issued).await;
    assert!(reserve(&fleet, addrs(&fleet)[0], order(&key)).await.is("ran", ""));
    fleet.routers.clear();
    for _ in 0..3 {
        fleet.add_router().unwrap();
    }
    for addr in addrs(&fleet) {
        let told = reserve(&fleet, addr, order(&key)).await;
        assert_eq!(told.verdict, "may_have_run", "{told:?}");
    }
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[rstest]
#[case::forged("fk1.AAAA", "dalisay")]
#[case::of_other_organisation("", "pierscionkowo")]
#[tokio::test]
async fn wrong_key_refused(#[case] text: &str, #[case] organisation: &str) {
    let fleet = once_fleet(once_options()).await;
    let addr = addrs(&fleet)[0];
    let request = fleet.http.post(format!("http://{addr}/v1/keys"));
    let reply = request.header(ORGANISATION_HEADER, organisation).send().await.unwrap();
    let issued = reply.json::<NewKey>().await.unwrap().key;
    let key = if text.is_empty() { issued } else { text.to_owned() };
    let told = reserve(&fleet, addr, order(&key)).await;
    assert!(told.is("not_run", "key_refused"), "{told:?}");
    assert_eq!((told.status, fleet.services[0].runs(&key)), (403, 0));
}

#[tokio::test]
async fn forgotten_key_may_have_run() {
    let mut options = once_options();
    options.settings.once.key_age = Duration::from_millis(20);
    let fleet = once_fleet(options).await;
    let addr = addrs(&fleet)[0];
    let key = key(&fleet, addr, true).await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    let told = reserve(&fleet, addr, order(&key)).await;
    assert!(told.is("may_have_run", "key_expired"), "{told:?}");
    assert_eq!(fleet.services[0].runs(&key), 0);
}

#[tokio::test]
async fn service_that_checks_is_asked() {
    let fleet = once_fleet(FleetOptions { checks_keys: true, ..once_options() }).await;
    fleet.log.set_faults(LogFaults { out: true, ..LogFaults::default() });
    let first = reserve(&fleet, addrs(&fleet)[0], order("order-17")).await;
    assert!(first.is("ran", ""), "{first:?}");
    for addr in addrs(&fleet) {
        assert_eq!(reserve(&fleet, addr, order("order-17")).await, first);
    }
    assert_eq!(fleet.services[0].runs("order-17"), 1);
}

#[tokio::test]
async fn call_without_key_sent_once() {
    let fleet = once_fleet(once_options()).await;
    set_service(&fleet, ServiceFaults { cut_replies: 1, ..ServiceFaults::default() });
    let keyless = Order { key: None, ..order("") };
    let told = reserve(&fleet, addrs(&fleet)[0], keyless).await;
    assert_eq!(told.verdict, "may_have_run", "{told:?}");
    assert_eq!(fleet.services[0].runs(""), 1);
}

#[tokio::test]
async fn owner_not_listed_found_by_gossip() {
    let mut fleet = once_fleet(once_options()).await;
    let all = addrs(&fleet);
    let key = key(&fleet, all[2], true).await;
    assert!(reserve(&fleet, all[2], order(&key)).await.is("ran", ""));
    fleet.list.remove("entry-2");
    let gone = |it: &Fleet| {
        let events = it.routers[0].shared().events.since(0);
        events.iter().any(|e| e.code == Code::InstanceGone.number() && e.subject == "entry-2")
    };
    fleet.wait_until(gone).await;
    assert!(reserve(&fleet, all[0], order(&key)).await.is("ran", ""));
    drop(fleet.routers.remove(2));
    let told = reserve(&fleet, all[0], order(&key)).await;
    assert!(told.is("may_have_run", "outcome_unknown"), "{told:?}");
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[rstest]
#[case::own("dalisay", "chat-1", true)]
#[case::other_chat("dalisay", "chat-2", false)]
#[case::other_organisation("pierscionkowo", "chat-1", false)]
#[tokio::test]
async fn hint_good_for_own_chat(
    #[case] organisation: &str,
    #[case] chat: &str,
    #[case] good: bool,
) {
    let fleet = once_fleet(once_options()).await;
    let router = addrs(&fleet)[0];
    let messages = [json!({ "role": "user", "content": "which reeds" })];
    let ask = Ask { messages: &messages, tokens: 2, stream: false };
    let mut first = Caller::new(&fleet.http, "dalisay", "chat-1");
    first.ask(router, &ask).await.unwrap();
    let mut second = Caller::new(&fleet.http, organisation, chat);
    second.hint = first.hint;
    second.ask(router, &ask).await.unwrap();
    let refused = fleet.routers[0].shared().events.since(0).iter().any(|it| it.code == 610);
    assert_eq!(refused, !good);
}

/// What the sends of one key were told under the storm.
#[derive(Debug, Default)]
struct Tally {
    tried: usize,
    ran: usize,
    false_not_run: usize,
    other_answers: usize,
}

/// Sends one key three times to any router and checks what is told.
async fn send_some(fleet: &Fleet, key: &str, first: &mut Option<Value>, seed: u64) -> Tally {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut tally = Tally::default();
    for _ in 0..3 {
        let all = addrs(fleet);
        let addr = all[rng.random_range(0..all.len())];
        let deadline_ms = rng.random_range(200..1_500);
        let before = fleet.services[0].runs(key);
        let told = reserve(fleet, addr, Order { deadline_ms, ..order(key) }).await;
        tally.tried += 1;
        tally.false_not_run += usize::from(told.verdict == "not_run" && before > 0);
        if told.is("ran", "") {
            tally.ran += 1;
            let known = first.get_or_insert_with(|| told.body.clone());
            tally.other_answers += usize::from(*known != told.body);
        }
    }
    tally
}

#[rstest]
#[tokio::test]
async fn storm_never_runs_twice(#[values(1, 2, 3)] seed: u64) {
    const KEYS: usize = 60;
    let mut fleet = once_fleet(once_options()).await;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut keys: Vec<(String, Option<Value>)> = Vec::new();
    for i in 0..KEYS {
        let addr = addrs(&fleet)[rng.random_range(0..3)];
        let key = key(&fleet, addr, i % 2 == 0).await;
        keys.push((format!("{key}-{i}"), None));
    }
    let mut sum = Tally::default();
    for phase in 0..4 {
        set_service(
            &fleet,
            ServiceFaults {
                delay_ms: rng.random_range(0..100),
                lost_replies: rng.random_range(0..6),
                cut_replies: rng.random_range(0..3),
                refuse: false,
            },
        );
        let (out, lost_replies) = (phase == 1, rng.random_range(0..4));
        fleet.log.set_faults(LogFaults { out, lost_replies, ..LogFaults::default() });
        if phase == 2 {
            drop(fleet.routers.pop());
            fleet.add_router().unwrap();
        }
        let (each, seeds) = (&fleet, rng.random::<u64>());
        // Half of the keys are new in the second half of the phases.
        let used = if phase < 2 { KEYS / 2 } else { KEYS };
        let sends = keys[..used]
            .iter_mut()
            .enumerate()
            .map(|(i, (key, first))| send_some(each, key, first, seeds.wrapping_add(i as u64)));
        for it in join_all(sends).await {
            sum.tried += it.tried;
            sum.ran += it.ran;
            sum.false_not_run += it.false_not_run;
            sum.other_answers += it.other_answers;
        }
    }
    let (most, ran) = fleet.services[0].most_runs();
    println!("seed {seed}: {sum:?}, {ran} keys ran, at most {most} times");
    assert!(sum.ran > 0 && ran > KEYS / 4, "the storm left nothing to check");
    assert_eq!((most, sum.false_not_run, sum.other_answers), (1, 0, 0));
}
