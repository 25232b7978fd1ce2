//! Requests from caller through router to engine, and a ticket that moves traffic.

use filberttiller::backend::TOKEN_HEADER;
use filberttiller::demo::{Caller, ChatTurn, Fleet, FleetOptions};
use filberttiller::filters::{CHAT_HEADER, ORGANISATION_HEADER};
use filberttiller::wire::ApiErrorBody;
use rstest::rstest;
use serde_json::{Value, json};

fn small() -> FleetOptions {
    FleetOptions { routers: 2, engines: 2, canaries: 1, ..FleetOptions::default() }
}

async fn ready_fleet() -> Fleet {
    let fleet = Fleet::start(small()).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    fleet
}

fn question() -> Vec<Value> {
    vec![json!({ "role": "user", "content": "which reeds are in stock today" })]
}

#[rstest]
#[case::whole(false)]
#[case::streamed(true)]
#[tokio::test]
async fn chat_answered(#[case] stream: bool) {
    let fleet = ready_fleet().await;
    let mut caller = Caller::new(&fleet.http, "dalisay", "chat-1");
    let messages = question();
    let turn = ChatTurn { messages: &messages, tokens: 12, stream };
    let router = caller.entry_address(fleet.routers[0].address()).await.unwrap();
    caller.send(router, &turn).await.unwrap();
    assert!(caller.hint.is_some());
}

#[tokio::test]
async fn ticket_moves_traffic() {
    let fleet = ready_fleet().await;
    let mut caller = Caller::new(&fleet.http, "dalisay", "chat-1");
    let messages = question();
    let turn = ChatTurn { messages: &messages, tokens: 4, stream: false };
    for router in &fleet.routers {
        caller.send(router.address(), &turn).await.unwrap();
    }
    assert_eq!(fleet.canaries[0].total_runs(), 0);
    fleet.move_model().await.unwrap();
    for router in &fleet.routers {
        caller.send(router.address(), &turn).await.unwrap();
    }
    assert_eq!(fleet.canaries[0].total_runs(), 2);
}

#[tokio::test]
async fn service_called() {
    let fleet = ready_fleet().await;
    let url = format!("http://{}/v1/services/stockroom/stock/reed-8", fleet.routers[0].address());
    let reply = fleet.http.get(url).header(ORGANISATION_HEADER, "dalisay").send().await.unwrap();
    let body: Value = reply.json().await.unwrap();
    assert_eq!(body["item"], "reed-8");
}

#[rstest]
#[case::unknown_path("GET", "/v2/nothing", "", "unknown_call", 404)]
#[case::broken_json("POST", "/v1/chat/completions", "{", "bad_request", 400)]
#[case::no_messages(
    "POST",
    "/v1/chat/completions",
    r#"{"model":"assistant","messages":[]}"#,
    "bad_request",
    400
)]
#[case::unknown_model(
    "POST",
    "/v1/chat/completions",
    r#"{"model":"none","messages":[{"role":"user","content":"x"}]}"#,
    "unknown_target",
    404
)]
#[case::unknown_service("GET", "/v1/services/none/x", "", "unknown_target", 404)]
#[tokio::test]
async fn bad_call_refused(
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
    #[case] reason: &str,
    #[case] status: u16,
) {
    let fleet = ready_fleet().await;
    let url = format!("http://{}{path}", fleet.routers[0].address());
    let request = fleet.http.request(method.parse().unwrap(), url);
    let request = request.header(ORGANISATION_HEADER, "dalisay").header(CHAT_HEADER, "c");
    let reply = request.body(body.to_owned()).send().await.unwrap();
    assert_eq!(reply.status().as_u16(), status);
    let error = reply.json::<ApiErrorBody>().await.unwrap().error;
    assert_eq!((error.reason.as_str(), error.verdict.as_str()), (reason, "not_run"));
}

#[tokio::test]
async fn body_too_large() {
    let fleet = ready_fleet().await;
    let url = format!("http://{}/v1/chat/completions", fleet.routers[0].address());
    let request = fleet.http.post(url).header(ORGANISATION_HEADER, "dalisay");
    let reply = request.body(vec![b' '; (1 << 20) + 1]).send().await.unwrap();
    assert_eq!(reply.status().as_u16(), 413);
}

#[tokio::test]
async fn ready_after_first_ticket() {
    let fleet = Fleet::start(small()).await.unwrap();
    let url = format!("http://{}/readyz", fleet.routers[0].control());
    let status = async || fleet.http.get(&url).send().await.unwrap().status().as_u16();
    assert_eq!(status().await, 503);
    fleet.publish_first_ticket().await.unwrap();
    assert_eq!(status().await, 200);
}

#[rstest]
#[case::missing(None, 401)]
#[case::wrong(Some("not-the-token"), 401)]
#[case::right(Some("change-this-token"), 200)]
#[tokio::test]
async fn control_call_guarded(#[case] token: Option<&str>, #[case] status: u16) {
    let fleet = Fleet::start(small()).await.unwrap();
    let url = format!("http://{}/v1/in-force", fleet.routers[0].control());
    let mut request = fleet.http.get(url);
    if let Some(token) = token {
        request = request.header(TOKEN_HEADER, token);
    }
    assert_eq!(request.send().await.unwrap().status().as_u16(), status);
}

#[tokio::test]
async fn shutdown_finishes_stream() {
    let mut options = small();
    options.settings.traffic.entry_ttl = std::time::Duration::from_millis(50);
    let mut fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    let mut router = fleet.routers.remove(0);
    let mut caller = Caller::new(&fleet.http, "dalisay", "chat-1");
    let messages = question();
    let addr = router.address();
    let answer = tokio::spawn(async move {
        caller.send(addr, &ChatTurn { messages: &messages, tokens: 400, stream: true }).await
    });
    fleet.wait_until(|it| it.engines.iter().any(|e| e.load().running > 0)).await;
    let stopped = router.drain().await;
    assert_eq!(stopped.cut, 0);
    answer.await.unwrap().unwrap();
}
