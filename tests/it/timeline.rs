//! The time line over all processes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use filberttiller::backend::{ControlHttp, RouterClient};
use filberttiller::clock::{ManualClock, SystemClock};
use filberttiller::decide::chat_key;
use filberttiller::demo::{Fleet, FleetOptions};
use filberttiller::events::{Code, EventLog, Fields, discard_logger};
use filberttiller::filters::{
    CHAT_HEADER, KEY_HEADER, ORGANISATION_HEADER, REQUEST_HEADER, TIME_HEADER,
};
use filberttiller::timeline::{Selection, Timeline, explain, html, jsonl, read, text, trace};
use futures_util::StreamExt;
use rstest::rstest;
use serde_json::{Value, json};
use standins::log::Faults as LogFaults;

/// Age that covers every event of a test.
const ALL: Duration = Duration::from_secs(3_600);

struct Process {
    log: EventLog,
    clock: Arc<ManualClock>,
}

fn process(name: &str, ahead: u64, ring: usize) -> Process {
    let clock = Arc::new(ManualClock::new());
    clock.advance(Duration::from_secs(ahead));
    let log = EventLog::new(name, clock.clone(), discard_logger()).with_ring(ring);
    Process { log, clock }
}

fn record(process: &Process, code: Code, subject: &str, detail: &str) {
    process.clock.advance(Duration::from_millis(1));
    process.log.record(code, Fields { subject, detail });
}

fn send(from: &Process, to: &Process) {
    to.log.observe(&from.log.time().to_string());
}

/// Two routers whose clocks are 20 minutes apart: the caller asks the fast one
/// for an address and sends its request to the slow one, which retries.
fn skewed() -> (Process, Process) {
    let (fast, slow) = (process("fast", 1_300, 100), process("slow", 100, 100));
    let chat = format!("chat={:016x}", chat_key("dalisay", "c1"));
    record(&slow, Code::LogUnreachable, "", "no answer");
    record(&fast, Code::EntryAnswered, "e1", &format!("{chat} routers=slow,gone"));
    send(&fast, &slow);
    record(&slow, Code::RequestReceived, "r1", &format!("{chat} organisation=dalisay"));
    record(&slow, Code::Placed, "r1", "llm-1");
    record(&slow, Code::InstanceGone, "llm-1", "");
    record(&slow, Code::BackendFailed, "r1", "llm-1: no answer");
    record(&slow, Code::RequestRetried, "r1", "llm-1");
    record(&slow, Code::Placed, "r1", "llm-2");
    record(&slow, Code::Placed, "other", "llm-3");
    record(&slow, Code::BackendFailed, "r1", "may_have_run: llm-2 did not answer");
    send(&slow, &fast);
    record(&fast, Code::InstanceGone, "llm-2", "");
    (fast, slow)
}

fn merged(processes: &[&Process]) -> Timeline {
    let mut all = Timeline::default();
    for it in processes {
        all.add(it.log.page(0), 0);
    }
    all.add_delisted();
    all
}

fn names(timeline: &Timeline) -> Vec<&str> {
    timeline.events.iter().map(|it| it.name.as_str()).collect()
}

#[rstest]
#[case::one_order(true)]
#[case::other_order(false)]
fn merge_orders_skewed_clocks(#[case] fast_first: bool) {
    let (fast, slow) = skewed();
    let all = if fast_first { merged(&[&fast, &slow]) } else { merged(&[&slow, &fast]) };
    let names = names(&all);
    let expected = [
        "LogUnreachable",
        "EntryAnswered",
        "RequestReceived",
        "Placed",
        "InstanceGone",
        "BackendFailed",
        "RequestRetried",
        "Placed",
        "Placed",
        "BackendFailed",
        "InstanceGone",
    ];
    assert_eq!(names, expected);
}

#[test]
fn request_story_from_entry_to_verdict() {
    let (fast, slow) = skewed();
    let all = merged(&[&fast, &slow]);
    let story = Selection::Request("r1".to_owned()).apply(&all);
    let expected = [
        "LogUnreachable",
        "EntryAnswered",
        "RequestReceived",
        "Placed",
        "InstanceGone",
        "BackendFailed",
        "RequestRetried",
        "Placed",
        "BackendFailed",
    ];
    assert_eq!(names(&story), expected);
    let why = explain(&all, "r1").unwrap();
    assert_eq!(why.verdict, "may_have_run");
    assert_eq!(why.cause, "llm-2 did not answer");
    assert_eq!(why.attempts, ["llm-1: no answer"]);
}

#[rstest]
#[case::answered("e1")]
#[case::unfinished("other")]
#[case::unknown("nothing")]
fn explain_only_refusals(#[case] id: &str) {
    let (fast, slow) = skewed();
    assert_eq!(explain(&merged(&[&fast, &slow]), id), None);
}

#[rstest]
#[case::chat(Selection::Chat(chat_key("dalisay", "c1")), 7)]
#[case::other_chat(Selection::Chat(chat_key("dalisay", "c2")), 0)]
#[case::engine(Selection::Engine("llm-1".to_owned()), 4)]
#[case::name_in_name(Selection::Engine("llm".to_owned()), 0)]
#[case::ticket(Selection::Ticket(7), 0)]
fn selection_counts(#[case] selection: Selection, #[case] count: usize) {
    let (fast, slow) = skewed();
    let part = selection.apply(&merged(&[&fast, &slow]));
    assert_eq!(part.events.len(), count, "{:?}", names(&part));
}

#[test]
fn notes_name_gaps_and_missing() {
    let (fast, _) = skewed();
    let small = process("small", 0, 2);
    for _ in 0..5 {
        record(&small, Code::Placed, "r", "e");
    }
    let mut all = merged(&[&fast, &small]);
    all.add_missing("entry-9", "connection refused");
    let notes = all.notes().join("\n");
    assert!(notes.contains("gap: small dropped 3 events"), "{notes}");
    assert!(notes.contains("missing: entry-9: connection refused"), "{notes}");
    assert!(notes.contains("missing: gone: callers were sent to it"), "{notes}");
}

#[test]
fn formats_hold_every_event() {
    let (fast, slow) = skewed();
    let all = merged(&[&fast, &slow]);
    let count = all.events.len();
    assert_eq!(text(&all).lines().filter(|it| !it.starts_with('#')).count(), count);
    let lines: Vec<Value> =
        jsonl(&all).lines().map(|it| serde_json::from_str(it).unwrap()).collect();
    assert_eq!(lines.iter().filter(|it| it["event"].is_object()).count(), count);
    let trace: Value = serde_json::from_str(&trace(&all)).unwrap();
    let events = trace["traceEvents"].as_array().unwrap();
    let phase = |phase: &str| events.iter().filter(|it| it["ph"] == phase).count();
    assert_eq!((phase("i"), phase("M"), phase("b"), phase("e")), (count, 3, 1, 1));
    for it in events {
        assert!(it["pid"].as_u64().unwrap() > 0, "{it}");
    }
}

/// The fields that the trace event format asks of each phase used.
fn check_trace_event(it: &Value) {
    let texts: &[&str] = match it["ph"].as_str().unwrap() {
        "M" => &["name"],
        "i" => &["name", "cat", "s"],
        "b" | "e" => &["name", "cat", "id"],
        other => panic!("unknown phase {other}"),
    };
    assert!(texts.iter().all(|name| it[*name].is_string()), "{it}");
    assert!(it["pid"].is_u64() && it["tid"].is_u64(), "{it}");
    assert!(it["ph"] == "M" || it["ts"].is_u64(), "{it}");
    assert!(it["ph"] != "i" || ["g", "p", "t"].iter().any(|scope| it["s"] == *scope), "{it}");
    assert!(it["ph"] != "M" || it["args"]["name"].is_string(), "{it}");
}

#[test]
fn trace_reads_back() {
    let (fast, slow) = skewed();
    let all = merged(&[&fast, &slow]);
    let trace: Value = serde_json::from_str(&trace(&all)).unwrap();
    assert_eq!(trace["displayTimeUnit"], "ms");
    let events = trace["traceEvents"].as_array().unwrap();
    events.iter().for_each(check_trace_event);
    let names: BTreeMap<u64, &str> = events
        .iter()
        .filter(|it| it["ph"] == "M")
        .map(|it| (it["pid"].as_u64().unwrap(), it["args"]["name"].as_str().unwrap()))
        .collect();
    assert_eq!(names.values().copied().collect::<Vec<_>>(), ["fast", "gone", "slow"]);
    let instants = events.iter().filter(|it| it["ph"] == "i");
    let read: Vec<_> = instants
        .map(|it| {
            let text = |value: &Value| value.as_str().unwrap().to_owned();
            let instance = names[&it["pid"].as_u64().unwrap()].to_owned();
            (it["ts"].as_u64().unwrap(), instance, text(&it["name"]), text(&it["args"]["detail"]))
        })
        .collect();
    let told = all.events.iter();
    let told: Vec<_> = told
        .map(|it| (it.time.micros(), it.instance.clone(), it.name.clone(), it.detail.clone()))
        .collect();
    assert_eq!(read, told);
    let mut open = BTreeMap::new();
    for it in events.iter().filter(|it| it["ph"] == "b" || it["ph"] == "e") {
        let key = (it["cat"].as_str().unwrap(), it["id"].as_str().unwrap());
        match it["ph"].as_str().unwrap() {
            "b" => assert_eq!(open.insert(key, it["ts"].as_u64().unwrap()), None, "{it}"),
            _ => assert!(open.remove(&key).unwrap() <= it["ts"].as_u64().unwrap(), "{it}"),
        }
    }
    assert!(open.is_empty(), "{open:?} have no end");
}

#[test]
fn html_cannot_be_broken_by_texts() {
    let it = process("entry-1", 0, 10);
    record(&it, Code::BadRequest, "r", "</script><b>/*DATA*/");
    let page = html(&merged(&[&it]));
    assert!(!page.contains("</script><b>"));
    assert!(!page.contains("src=") && !page.contains("href="), "the page needs something else");
    let begin =
        page.find("type=\"application/json\">").unwrap() + "type=\"application/json\">".len();
    let end = begin + page[begin..].find("</script>").unwrap();
    let data: Value = serde_json::from_str(&page[begin..end]).unwrap();
    assert_eq!(data["events"][0][5], "</script><b>/*DATA*/");
}

fn client(fleet: &Fleet) -> RouterClient {
    let http = ControlHttp::new(fleet.http.clone(), Arc::default());
    RouterClient::new(http, &fleet.routers[0].shared().settings.token)
}

/// Router, status and body of every call that got an answer, by request id.
type Answers = Mutex<BTreeMap<String, (SocketAddr, u16, Value)>>;

async fn ask(fleet: &Fleet, router: SocketAddr, index: usize, answers: &Answers) {
    let body = json!({
        "model": if index.is_multiple_of(7) { "unknown" } else { "assistant" },
        "messages": [{ "role": "user", "content": format!("question {index}") }],
        "max_tokens": 4,
    });
    let url = format!("http://{router}/v1/chat/completions");
    let call = fleet.http.post(url).header(CHAT_HEADER, format!("c{index}")).json(&body);
    keep(router, call, answers).await;
}

async fn reserve(fleet: &Fleet, router: SocketAddr, index: usize, answers: &Answers) {
    let url = format!("http://{router}/v1/services/stockroom/reservations");
    let call = fleet.http.post(url).header(KEY_HEADER, format!("key-{index}"));
    keep(router, call.json(&json!({ "item": "reed", "quantity": 1 })), answers).await;
}

async fn keep(router: SocketAddr, call: reqwest::RequestBuilder, answers: &Answers) {
    let Ok(reply) = call.header(ORGANISATION_HEADER, "dalisay").send().await else {
        return;
    };
    let header = |name: &str| reply.headers().get(name).map(|it| it.to_str().unwrap().to_owned());
    assert!(header(TIME_HEADER).is_some());
    let id = header(REQUEST_HEADER).unwrap();
    let status = reply.status().as_u16();
    if let Ok(body) = reply.json().await {
        answers.lock().unwrap().insert(id, (router, status, body));
    }
}

#[tokio::test]
async fn refusals_explained_through_kill_and_outage() {
    let mut options =
        FleetOptions { routers: 3, engines: 3, canaries: 1, ..FleetOptions::default() };
    options.settings.state_sync.log_wait = Duration::from_millis(100);
    let mut fleet = Fleet::start(options).await.unwrap();
    fleet.publish_first_ticket().await.unwrap();
    let known: Vec<_> =
        fleet.routers.iter().map(|it| (it.shared().settings.name.clone(), it.control())).collect();
    let answers = Answers::default();
    let round = async |fleet: &Fleet, from: usize| {
        let calls = futures_util::stream::iter(from..from + 40).map(|i| {
            let router = fleet.routers[i % fleet.routers.len()].address();
            let answers = &answers;
            async move {
                if i % 4 == 0 {
                    reserve(fleet, router, i, answers).await;
                } else {
                    ask(fleet, router, i, answers).await;
                }
            }
        });
        calls.buffer_unordered(8).collect::<Vec<_>>().await;
    };
    round(&fleet, 0).await;
    fleet.log.set_faults(LogFaults { out: true, ..LogFaults::default() });
    let seen = |it: &Fleet, code: Code| {
        let saw = |log: &EventLog| log.since(0).iter().any(|it| it.code == code.number());
        it.routers.iter().all(|it| saw(&it.shared().events))
    };
    fleet.wait_until(|it| seen(it, Code::LogUnreachable)).await;
    fleet.engines[0].set_faults(standins::engine::Faults { refuse: true, ..Default::default() });
    round(&fleet, 100).await;
    let killed = fleet.routers.remove(1);
    let dead = killed.address();
    drop(killed);
    fleet.engines[1].set_faults(standins::engine::Faults { wrong_id: true, ..Default::default() });
    round(&fleet, 200).await;

    let all = read(&client(&fleet), &known, ALL, &SystemClock).await;
    assert!(all.processes["entry-1"].missing.is_some());
    let answers = answers.into_inner().unwrap();
    let mut refused = 0;
    for (id, (router, status, body)) in &answers {
        if *router == dead {
            continue;
        }
        assert!(all.events.iter().any(|it| &it.subject == id), "{id} is not on the time line");
        if *status < 400 {
            continue;
        }
        refused += 1;
        let why = explain(&all, id).unwrap_or_else(|| panic!("{id} is not explained: {body}"));
        assert_eq!(body["error"]["verdict"], why.verdict.as_str());
        assert_eq!(body["error"]["event"], why.code);
        assert_eq!(body["error"]["message"], why.cause.as_str());
    }
    assert!(refused > 0, "nothing was refused");
    let after: Vec<_> = all.events.iter().filter(|it| it.code == 202).collect();
    assert_eq!(after.len(), 2, "both routers tell of the outage");
}
