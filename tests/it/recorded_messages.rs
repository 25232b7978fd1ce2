//! Messages between routers of different versions: bytes that the two landings before wrote, and
//! messages of today read with the types of then.

use std::path::Path;

use filberttiller::peers::{Message, decode, encode};
use filberttiller::wire::{
    WireBlamedPart, WireExchange, WireNews, WireOriginQuery, WireOriginReply, WirePeerFailure,
    WirePosition, WireRouter, WireSeenSoftware, WireServerLeaving, WireServerLimit, WireServers,
    WireServersAddition, WireServersRequest, WireServiceSoftware, WireStoredBlame,
    WireStreamOrigin, WireStreamOrigins, unpack_loads,
};
use rstest::rstest;
use serde::Deserialize;
use serde::de::DeserializeOwned;

/// What one landing wrote.
struct Recorded(&'static str);

impl Recorded {
    fn bytes(&self, name: &str) -> Vec<u8> {
        let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/recorded").join(self.0);
        std::fs::read(folder.join(name)).expect("it is recorded")
    }

    fn read<T: DeserializeOwned>(&self, name: &str) -> T {
        decode(&self.bytes(name)).expect("it is read")
    }
}

const OLDER: Recorded = Recorded("landing-51569cd");
const FORMER: Recorded = Recorded("landing-74c6016");

/// A leaving mark, a limit or a blamed part that a router of an earlier version tells is not lost.
#[rstest]
#[case::older(OLDER, &[])]
#[case::former(FORMER, &[99])]
fn decode_recorded_exchange(#[case] recorded: Recorded, #[case] cut_off: &[u64]) {
    let Message { exchange, news } = Message::decode(&recorded.bytes("exchange.bin")).unwrap();
    assert_eq!(exchange.own.router, sender());
    assert!(exchange.own.ready && !exchange.own.leaving);
    let others: Vec<_> = exchange.others.iter().map(|it| (it.leaving, it.age_ms)).collect();
    assert_eq!(others, [(false, 300), (true, 700)]);
    let load = unpack_loads(&exchange.loads).next().unwrap();
    assert_eq!((load.server, load.in_flight, load.good, load.bad), (77, 3, 2.5, 0.5));
    assert_eq!((exchange.crashes.len(), exchange.rules), (1, Some((9, 250))));
    assert_eq!(news.parts.blamed, [WireBlamedPart(7, 1_000, vec![8])]);
    assert_eq!(news.limits, [WireServerLimit(5, Some(12.5), 100)]);
    assert_eq!(news.leaving, [WireServerLeaving(6, 200)]);
    assert_eq!(news.software, [WireSeenSoftware("models".to_owned(), 22, 300)]);
    assert_eq!(news.cut_off, cut_off);
    assert!(news.sightings.is_empty() && news.failures.is_empty());
}

#[rstest]
#[case::older(OLDER)]
#[case::former(FORMER)]
fn decode_recorded_servers(#[case] recorded: Recorded) {
    let bytes = recorded.bytes("servers.bin");
    let mut rest = bytes.as_slice();
    let servers: WireServers = rmp_serde::from_read(&mut rest).unwrap();
    let addition: WireServersAddition = rmp_serde::from_slice(rest).unwrap();
    assert_eq!((servers.stamp, servers.whole, servers.age_ms), (41, true, Some(120)));
    let (id, server) = &servers.rows[0];
    let server = server.as_ref().unwrap();
    assert_eq!((id.as_str(), server.leaving, server.sequence), ("i-1", true, 12));
    assert_eq!(servers.rows[1], ("i-2".to_owned(), None));
    assert_eq!((addition.versions["i-1"].as_str(), addition.position), ("v2", None));
    let request: WireServersRequest = recorded.read("servers_request.bin");
    assert_eq!((request.epoch, request.stamp), (1_700_000_000_123, 40));
}

#[rstest]
#[case::older(OLDER)]
#[case::former(FORMER)]
fn decode_recorded_origins(#[case] recorded: Recorded) {
    let origins: WireStreamOrigins = recorded.read("origins.bin");
    assert_eq!(origins.origins, [WireStreamOrigin(11, 22, 9_000)]);
    let query: WireOriginQuery = recorded.read("origin_query.bin");
    assert_eq!(query, WireOriginQuery(11, "models".to_owned()));
    let reply: WireOriginReply = recorded.read("origin_reply.bin");
    let service = WireServiceSoftware::Several;
    let expected = WireOriginReply { software: Some(22), service, born: None };
    assert_eq!(reply, expected);
}

#[rstest]
#[case::older(OLDER)]
#[case::former(FORMER)]
fn decode_recorded_store_records(#[case] recorded: Recorded) {
    let router: WireRouter = serde_json::from_slice(&recorded.bytes("announcement.json")).unwrap();
    assert_eq!(router, sender());
    let blame: WireStoredBlame = serde_json::from_slice(&recorded.bytes("blame.json")).unwrap();
    assert_eq!((blame.part, blame.companions), (7, vec![8]));
}

fn sender() -> WireRouter {
    WireRouter {
        name: "front-1".to_owned(),
        callers: ([127, 0, 0, 1], 1_000).into(),
        peers: ([127, 0, 0, 1], 1_001).into(),
        domain: "domain-a".to_owned(),
        born: 1_700_000_000_123,
    }
}

/// The news as the landing before read them.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct FormerNews {
    leaving: Vec<WireServerLeaving>,
    limits: Vec<WireServerLimit>,
    cut_off: Vec<u64>,
}

/// The addition to a list of servers as the landing before read it.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
struct FormerVersions {
    versions: std::collections::HashMap<String, String>,
}

/// What a router of the landing before reads of today's messages: all that it knows, and nothing
/// of what came since.
#[test]
fn former_router_reads_news() {
    let exchange: WireExchange = FORMER.read("exchange.bin");
    let news = WireNews {
        leaving: vec![WireServerLeaving(6, 200)],
        limits: vec![WireServerLimit(5, None, 100)],
        cut_off: vec![99],
        sightings: vec![1; 70],
        failures: vec![WirePeerFailure(1, 2, true, 30)],
        ..WireNews::default()
    };
    let bytes = Message { exchange: exchange.clone(), news }.encode().unwrap();
    let mut rest = bytes.as_ref();
    let read: WireExchange = rmp_serde::from_read(&mut rest).unwrap();
    let news: FormerNews = rmp_serde::from_slice(rest).unwrap();
    assert_eq!(read, exchange);
    assert_eq!(news.leaving, [WireServerLeaving(6, 200)]);
    assert_eq!(news.limits, [WireServerLimit(5, None, 100)]);
    assert_eq!(news.cut_off, [99]);
}

#[test]
fn former_router_reads_list_addition() {
    let versions = [("i-1".to_owned(), "v2".to_owned())].into();
    let addition = WireServersAddition {
        versions,
        position: Some(WirePosition(Some(1), 40)),
        registered: vec![7],
    };
    let bytes = rmp_serde::to_vec_named(&addition).unwrap();
    let read: FormerVersions = rmp_serde::from_slice(&bytes).unwrap();
    assert_eq!(read.versions["i-1"], "v2");
}

/// A field of a later version is skipped; what this version knows is read.
#[test]
fn later_news_read() {
    #[derive(serde::Serialize)]
    struct LaterNews {
        invented: Vec<u64>,
        leaving: Vec<WireServerLeaving>,
    }
    let exchange: WireExchange = FORMER.read("exchange.bin");
    let mut bytes = encode(&exchange).unwrap().to_vec();
    let news = LaterNews { invented: vec![1, 2], leaving: vec![WireServerLeaving(6, 200)] };
    bytes.extend(rmp_serde::to_vec_named(&news).unwrap());
    let read = Message::decode(&bytes).unwrap();
    assert_eq!(read.news.leaving, [WireServerLeaving(6, 200)]);
}
