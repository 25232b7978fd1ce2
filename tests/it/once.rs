//! At-most-once calls: repeats, lost replies, outages of the log and lost owners.

use std::time::Duration;

use filberttiller::daemon::Daemon;
use filberttiller::demo::{Caller, ChatTurn, Fleet, FleetOptions};
use filberttiller::events::Code;
use filberttiller::filters::ORGANISATION_HEADER;
use filberttiller::wire::NewKey;
use rstest::rstest;
use serde_json::json;
use standins::log::Faults as LogFaults;
use standins::service::Faults as ServiceFaults;

use crate::reservation::{
    Reservation, addrs, new_key, once_fleet, once_options, reservation, reserve, set_service_faults,
};

#[rstest]
#[tokio::test]
async fn repeat_gets_first_answer(#[values(false, true)] issued: bool) {
    let fleet = once_fleet(once_options()).await;
    let key = new_key(&fleet, addrs(&fleet)[0], issued).await;
    let first = reserve(&fleet, addrs(&fleet)[1], reservation(&key)).await;
    assert!(first.is("ran", ""), "{first:?}");
    for addr in addrs(&fleet) {
        assert_eq!(reserve(&fleet, addr, reservation(&key)).await, first);
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
    let key = new_key(&fleet, addrs(&fleet)[0], issued).await;
    let (lost_replies, cut_replies) = if cut { (0, 1) } else { (1, 0) };
    set_service_faults(
        &fleet,
        ServiceFaults { lost_replies, cut_replies, ..ServiceFaults::default() },
    );
    let first =
        reserve(&fleet, addrs(&fleet)[0], Reservation { deadline_ms: 500, ..reservation(&key) })
            .await;
    assert_eq!(first.verdict, "may_have_run", "{first:?}");
    for addr in addrs(&fleet) {
        let result = reserve(&fleet, addr, reservation(&key)).await;
        assert!(result.is("may_have_run", "outcome_unknown"), "{result:?}");
    }
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[rstest]
#[tokio::test]
async fn resend_while_running_waits(#[values(false, true)] issued: bool) {
    let fleet = once_fleet(once_options()).await;
    let key = new_key(&fleet, addrs(&fleet)[0], issued).await;
    set_service_faults(&fleet, ServiceFaults { delay_ms: 1_500, ..ServiceFaults::default() });
    let all = addrs(&fleet);
    let (first, second, short) = tokio::join!(
        reserve(&fleet, all[0], reservation(&key)),
        reserve(&fleet, all[1], reservation(&key)),
        async {
            fleet
                .wait_until(|it| {
                    let ran = |r: &Daemon| r.shared().events.since(0).iter().any(|e| e.code == 600);
                    it.routers.iter().any(ran)
                })
                .await;
            reserve(&fleet, all[2], Reservation { deadline_ms: 100, ..reservation(&key) }).await
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
    let key = new_key(&fleet, addrs(&fleet)[0], issued).await;
    assert!(reserve(&fleet, addrs(&fleet)[0], reservation(&key)).await.is("ran", ""));
    for addr in addrs(&fleet) {
        let result = reserve(&fleet, addr, Reservation { quantity: 2, ..reservation(&key) }).await;
        assert!(result.is("not_run", "key_reused"), "{result:?}");
        assert_eq!(result.status, 422);
    }
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[tokio::test]
async fn log_outage_serves_known_keys() {
    let fleet = once_fleet(once_options()).await;
    let all = addrs(&fleet);
    let before = reserve(&fleet, all[0], reservation("before")).await;
    fleet.log.set_faults(LogFaults { out: true, ..LogFaults::default() });
    let issued = new_key(&fleet, all[0], true).await;
    assert!(reserve(&fleet, all[1], reservation(&issued)).await.is("ran", ""));
    for addr in &all {
        assert_eq!(reserve(&fleet, *addr, reservation("before")).await, before);
        let result = reserve(&fleet, *addr, reservation("during")).await;
        assert!(result.is("not_run", "claims_unavailable") && result.retry, "{result:?}");
    }
    assert_eq!(fleet.services[0].runs("during"), 0);
    fleet.log.set_faults(LogFaults::default());
    let after = reserve(&fleet, all[0], reservation("during")).await;
    assert!(after.verdict == "ran" || after.reason == "claims_unavailable", "{after:?}");
}

#[tokio::test]
async fn lost_append_reply_resolved() {
    let fleet = once_fleet(once_options()).await;
    fleet.log.set_faults(LogFaults { lost_replies: 2, ..LogFaults::default() });
    for (i, addr) in addrs(&fleet).into_iter().enumerate() {
        let key = format!("order-{i}");
        let result = reserve(&fleet, addr, reservation(&key)).await;
        assert!(result.is("ran", ""), "{result:?}");
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
    let key = new_key(&fleet, owner, issued).await;
    assert!(reserve(&fleet, owner, reservation(&key)).await.is("ran", ""));
    drop(fleet.routers.pop());
    if restarted {
        fleet.add_router().unwrap();
        fleet.wait_until(|it| it.routers[2].shared().view.peek().ready).await;
    }
    for addr in addrs(&fleet) {
        let result = reserve(&fleet, addr, reservation(&key)).await;
        assert_eq!(result.verdict, "may_have_run", "{result:?}");
    }
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[rstest]
#[tokio::test]
async fn all_restarted_never_run_again(#[values(false, true)] issued: bool) {
    let mut fleet = once_fleet(once_options()).await;
    let key = new_key(&fleet, addrs(&fleet)[0], issued).await;
    assert!(reserve(&fleet, addrs(&fleet)[0], reservation(&key)).await.is("ran", ""));
    fleet.routers.clear();
    for _ in 0..3 {
        fleet.add_router().unwrap();
    }
    for addr in addrs(&fleet) {
        let result = reserve(&fleet, addr, reservation(&key)).await;
        assert_eq!(result.verdict, "may_have_run", "{result:?}");
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
    let result = reserve(&fleet, addr, reservation(&key)).await;
    assert!(result.is("not_run", "key_refused"), "{result:?}");
    assert_eq!((result.status, fleet.services[0].runs(&key)), (403, 0));
}

#[tokio::test]
async fn forgotten_key_may_have_run() {
    let mut options = once_options();
    options.settings.once.key_age = Duration::from_millis(20);
    let fleet = once_fleet(options).await;
    let addr = addrs(&fleet)[0];
    let key = new_key(&fleet, addr, true).await;
    tokio::time::sleep(Duration::from_millis(60)).await;
    let result = reserve(&fleet, addr, reservation(&key)).await;
    assert!(result.is("may_have_run", "key_expired"), "{result:?}");
    assert_eq!(fleet.services[0].runs(&key), 0);
}

#[tokio::test]
async fn service_that_checks_keys_gets_repeats() {
    let fleet = once_fleet(FleetOptions { checks_keys: true, ..once_options() }).await;
    fleet.log.set_faults(LogFaults { out: true, ..LogFaults::default() });
    let first = reserve(&fleet, addrs(&fleet)[0], reservation("order-17")).await;
    assert!(first.is("ran", ""), "{first:?}");
    for addr in addrs(&fleet) {
        assert_eq!(reserve(&fleet, addr, reservation("order-17")).await, first);
    }
    assert_eq!(fleet.services[0].runs("order-17"), 1);
}

#[tokio::test]
async fn call_without_key_sent_once() {
    let fleet = once_fleet(once_options()).await;
    set_service_faults(&fleet, ServiceFaults { cut_replies: 1, ..ServiceFaults::default() });
    let keyless = Reservation { key: None, ..reservation("") };
    let result = reserve(&fleet, addrs(&fleet)[0], keyless).await;
    assert_eq!(result.verdict, "may_have_run", "{result:?}");
    assert_eq!(fleet.services[0].runs(""), 1);
}

#[tokio::test]
async fn owner_not_listed_found_by_gossip() {
    let mut fleet = once_fleet(once_options()).await;
    let all = addrs(&fleet);
    let key = new_key(&fleet, all[2], true).await;
    assert!(reserve(&fleet, all[2], reservation(&key)).await.is("ran", ""));
    fleet.list.remove("entry-2");
    let is_gone = |it: &Fleet| {
        let events = it.routers[0].shared().events.since(0);
        events.iter().any(|e| e.code == Code::InstanceGone.number() && e.subject == "entry-2")
    };
    fleet.wait_until(is_gone).await;
    // The router is no longer listed, so only gossip can report it.
    let is_known = |it: &Fleet| {
        let view = it.routers[0].shared().view.peek();
        view.routers.iter().any(|r| r.name == "entry-2")
    };
    fleet.wait_until(is_known).await;
    assert!(reserve(&fleet, all[0], reservation(&key)).await.is("ran", ""));
    drop(fleet.routers.remove(2));
    let result = reserve(&fleet, all[0], reservation(&key)).await;
    assert!(result.is("may_have_run", "outcome_unknown"), "{result:?}");
    assert_eq!(fleet.services[0].runs(&key), 1);
}

#[rstest]
#[case::own("dalisay", "chat-1", true)]
#[case::other_chat("dalisay", "chat-2", false)]
#[case::other_organisation("pierscionkowo", "chat-1", false)]
#[tokio::test]
async fn hint_valid_for_own_chat(
    #[case] organisation: &str,
    #[case] chat: &str,
    #[case] is_valid: bool,
) {
    let fleet = once_fleet(once_options()).await;
    let router = addrs(&fleet)[0];
    let messages = [json!({ "role": "user", "content": "which reeds" })];
    let turn = ChatTurn { messages: &messages, tokens: 2, stream: false };
    let mut first = Caller::new(&fleet.http, "dalisay", "chat-1");
    first.send(router, &turn).await.unwrap();
    let mut second = Caller::new(&fleet.http, organisation, chat);
    second.hint = first.hint;
    second.send(router, &turn).await.unwrap();
    let refused = fleet.routers[0].shared().events.since(0).iter().any(|it| it.code == 610);
    assert_eq!(refused, !is_valid);
}
