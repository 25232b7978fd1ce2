//! Tokens at backend servers: what requests take there, and where they fit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use filberttiller::decide::{
    Candidate, LoadBound, RequestTokens, ServerTokens, SharedPart, TokenLedger, TokenPlace,
    TokenQuery, USUAL_PACE, hash_bytes,
};
use filberttiller::peers::PeerTable;
use filberttiller::servers::Server;
use filberttiller::wire::{
    ServerLoad, WireExchange, WireObservation, WireRouter, pack_loads, pack_tokens, unpack_tokens,
};
use proptest::prelude::{any, proptest};
use rstest::rstest;
use smallvec::{SmallVec, smallvec};

use crate::support::server_record;

const BOUND: LoadBound = LoadBound { factor: 1.5, extra: 2.0 };
const MEMORY: u64 = 100_000;
const RATE: f64 = 50_000.0;

fn part(tag: u16, tokens: u64) -> SharedPart {
    SharedPart { tag, tokens }
}

fn request(parts: SmallVec<[SharedPart; 3]>, own: u64) -> RequestTokens {
    let shared: u64 = parts.iter().map(|it| it.tokens).sum();
    RequestTokens { unread: shared + own, held: own, parts }
}

fn told(unread: u64, held: u64, parts: SmallVec<[SharedPart; 3]>) -> ServerTokens {
    ServerTokens { unread, held, parts }
}

fn servers(loads: &[u32]) -> Vec<Candidate> {
    let candidate = |(at, load): (usize, &u32)| Candidate {
        hash: hash_bytes(&at.to_be_bytes()),
        load: *load,
        pace: USUAL_PACE,
        slots: 32,
        max_load: 48,
        closed: false,
    };
    loads.iter().enumerate().map(candidate).collect()
}

fn query() -> TokenQuery {
    TokenQuery {
        key: 7,
        objective: Duration::from_millis(500),
        min_objective: Duration::from_millis(500),
        memory: MEMORY,
    }
}

/// Guards against requests of one prefix that fill the memory on paper only: most of their prompts
/// is cached once, whichever routers sent them.
#[test]
fn ledger_shared_part_counts_once() {
    let (ledger, now) = (TokenLedger::default(), Instant::now());
    let request = request(smallvec![part(1, 8_000), part(2, 2_000)], 300);
    (0..10).for_each(|_| ledger.begin(&request));
    ledger.set_others(told(0, 900, smallvec![part(1, 8_000), part(3, 500)]), now);
    let place = ledger.place(&request, None, now);
    assert_eq!((place.held, place.added), (10 * 300 + 900 + 8_000 + 2_000 + 500, 300));
    (0..10).for_each(|_| ledger.end(&request, request.unread));
    assert_eq!(ledger.place(&request, None, now).held, 900 + 8_000 + 500);
}

/// Guards against prompts that count as unread after their answers began, or for ever after a
/// request that failed.
#[rstest]
#[case::answered(true)]
#[case::failed(false)]
fn in_flight_unread_until_answer(#[case] answered: bool) {
    let server = Arc::new(Server::new("i-1", &server_record()));
    let (nothing, now) = (RequestTokens::default(), Instant::now());
    let request = request(smallvec![part(1, 2_000)], 300);
    let place = || server.tokens.place(&nothing, None, now);
    let mut in_flight = server.begin_request(request.clone());
    assert_eq!((place().ahead, place().held), (2_300, 2_300));
    if answered {
        in_flight.end_reading(now);
        assert_eq!((place().ahead, place().held), (0, 2_300));
    }
    drop(in_flight);
    assert_eq!((place().ahead, place().held), (0, 0));
    assert_eq!(server.tokens.place(&request, None, now).is_cached, answered);
}

/// Guards against stale reports: a prompt that another router reported as unread has been read
/// soon after.
#[rstest]
#[case::at_once(0, Some(RATE), 10_000)]
#[case::half_read(100, Some(RATE), 5_000)]
#[case::read(300, Some(RATE), 0)]
#[case::rate_unknown(0, None, 0)]
fn ledger_reports_fade(#[case] age_ms: u64, #[case] rate: Option<f64>, #[case] unread: u64) {
    let (ledger, now) = (TokenLedger::default(), Instant::now());
    ledger.set_others(told(10_000, 0, smallvec![]), now);
    let place = ledger.place(&RequestTokens::default(), rate, now + Duration::from_millis(age_ms));
    assert_eq!(place.ahead, unread);
}

/// Guards against prompts that are preempted and read again, under shortage with many long
/// prompts: a request goes to a server whose memory it fits, or waits for memory as long as others
/// wait for slots; where servers say that nothing waits, estimates do not count.
#[rstest]
#[case::fits([50_000, 0, 0], false, Some(0))]
#[case::fits_elsewhere([95_000, 95_000, 20_000], false, Some(2))]
#[case::waits_at_home([120_000, 130_000, 130_000], false, Some(0))]
#[case::waits_elsewhere([150_000, 150_000, 130_000], false, Some(2))]
#[case::fits_nowhere([150_000, 150_000, 150_000], false, None)]
#[case::servers_say_otherwise([150_000, 150_000, 150_000], true, Some(0))]
fn choose_by_memory(#[case] held: [u64; 3], #[case] is_idle: bool, #[case] chosen: Option<usize>) {
    let place =
        |at: usize| TokenPlace { held: held[at], added: 11_000, is_idle, ..TokenPlace::default() };
    assert_eq!(query().choose(&servers(&[3, 3, 3]), 0, &BOUND, place), chosen);
}

/// Guards against memory that sends requests above the load bound.
#[test]
fn choose_within_load_bound() {
    let place = |at: usize| TokenPlace {
        held: if at == 2 { 0 } else { 150_000 },
        added: 11_000,
        ..TokenPlace::default()
    };
    assert_eq!(query().choose(&servers(&[2, 2, 30]), 0, &BOUND, place), None);
    assert_eq!(query().choose(&servers(&[2, 2, 3]), 0, &BOUND, place), Some(2));
}

fn exchange(name: &str, in_flight: u8) -> WireExchange {
    let router = WireRouter {
        name: name.to_owned(),
        callers: ([127, 0, 0, 1], 1).into(),
        peers: ([127, 0, 0, 1], 2).into(),
        domain: "a".to_owned(),
        born: 1,
    };
    let load = |server, in_flight| ServerLoad { server, in_flight, good: 1.0, bad: 0.0 };
    let own = WireObservation { router, ready: true, leaving: false, age_ms: 0 };
    let loads = pack_loads([load(1, in_flight), load(4, 0), load(5, 1)]);
    WireExchange { own, others: Vec::new(), loads, crashes: Vec::new(), rules: None }
}

fn own_router() -> WireRouter {
    exchange("me", 0).own.router
}

/// Guards against tokens that nobody ends: those of routers that died, or are silent.
#[test]
fn peer_tokens_end_with_their_router() {
    let (mut peers, now) = (PeerTable::new(own_router()), Instant::now());
    for name in ["b", "c"] {
        peers.merge_message(exchange(name, 1), now);
        let tokens = vec![told(100, 400, smallvec![part(1, 800)]), told(0, 32, smallvec![])];
        peers.set_tokens(name, tokens);
    }
    let all = peers.tokens(now).servers;
    assert_eq!(all[&1], told(200, 800, smallvec![part(1, 800)]));
    assert_eq!(all[&5], told(0, 64, smallvec![]));
    assert!(!all.contains_key(&4), "nothing is in flight there");
    assert!(peers.tokens(now + Duration::from_secs(4)).servers.is_empty());
}

/// Guards against half of the routers missing at once, while they count as alive: they count as
/// much as the others.
#[test]
fn peer_tokens_of_silent_routers_estimated() {
    let (mut peers, now) = (PeerTable::new(own_router()), Instant::now());
    let mut message = exchange("b", 1);
    message.others = vec![WireObservation { age_ms: 100, ..exchange("c", 0).own }];
    peers.merge_message(message, now);
    peers.set_tokens("b", vec![told(100, 400, smallvec![part(1, 800)])]);
    assert_eq!(peers.tokens(now).servers[&1], told(200, 800, smallvec![part(1, 800)]));
}

#[test]
fn unpack_tokens_of_packed() {
    let servers = [told(16, 48, smallvec![part(7, 32), part(9, 160)]), told(0, 0, smallvec![])];
    let bytes = pack_tokens(&servers);
    assert_eq!(bytes.len(), 5 + 2 * 4 + 5);
    assert_eq!(unpack_tokens(&bytes).unwrap(), servers);
    let huge = pack_tokens(&[told(u64::MAX, 17, smallvec![])]);
    assert_eq!(unpack_tokens(&huge).unwrap(), [told(65_535 * 16, 32, smallvec![])]);
}

proptest! {
    /// Guards against nonsense of another router: it is refused as a whole, or bounded.
    #[test]
    fn unpack_any_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..60)) {
        for it in unpack_tokens(&bytes).unwrap_or_default() {
            assert!(it.unread.max(it.held) <= 65_535 * 16);
        }
    }
}
