//! Decoders of foreign bytes: whatever comes, nothing panics and nothing wrong
//! is taken for right.

use std::collections::HashMap;

use eventsource_stream::Eventsource;
use filberttiller::wire::{ChatAnswer, ChatChunk, ChatRequest, LoadReport, parse_ticket};
use futures_util::{FutureExt, StreamExt, stream};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

/// The same cases on every run.
pub fn fixed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default() }
}

/// JSON of any shape, with the names that the decoders look for.
fn any_json() -> impl Strategy<Value = Value> {
    let leaf = prop_oneof![
        Just(Value::Null),
        any::<bool>().prop_map(Value::from),
        any::<i64>().prop_map(Value::from),
        any::<f64>().prop_map(Value::from),
        ".{0,8}".prop_map(Value::from),
    ];
    let name = prop_oneof![
        Just("model".to_owned()),
        Just("messages".to_owned()),
        Just("role".to_owned()),
        Just("content".to_owned()),
        Just("max_tokens".to_owned()),
        Just("stream".to_owned()),
        Just("id".to_owned()),
        Just("choices".to_owned()),
        Just("usage".to_owned()),
        Just("prompt_tokens_details".to_owned()),
        Just("cached_tokens".to_owned()),
        Just("incarnation".to_owned()),
        Just("tokens".to_owned()),
        Just("loaded".to_owned()),
        ".{0,4}",
    ];
    leaf.prop_recursive(4, 32, 6, move |inner| {
        prop_oneof![
            prop::collection::vec(inner.clone(), 0..6).prop_map(Value::from),
            prop::collection::hash_map(name.clone(), inner, 0..8)
                .prop_map(|it| Value::Object(it.into_iter().collect())),
        ]
    })
}

/// Text of JSON, now and then cut or with a byte changed.
fn damaged_json() -> impl Strategy<Value = Vec<u8>> {
    (any_json(), any::<prop::sample::Index>(), any::<u8>(), 0u8..4).prop_map(
        |(value, at, byte, damage)| {
            let mut bytes = value.to_string().into_bytes();
            let at = at.index(bytes.len());
            match damage {
                0 => bytes.truncate(at),
                1 => bytes[at] = byte,
                _ => {}
            }
            bytes
        },
    )
}

proptest! {
    #![proptest_config(fixed())]

    #[test]
    fn chat_request_decoded(bytes in damaged_json()) {
        if let Ok(request) = serde_json::from_slice::<ChatRequest>(&bytes) {
            let cost = request.cost();
            let again = serde_json::to_vec(&request).unwrap();
            let again: ChatRequest = serde_json::from_slice(&again).unwrap();
            prop_assert_eq!(again.cost(), cost);
        }
    }

    #[test]
    fn chat_answer_decoded(bytes in damaged_json()) {
        if let Ok(answer) = ChatAnswer::parse(&bytes) {
            let value: Value = serde_json::from_slice(&bytes).unwrap();
            prop_assert_eq!(value["id"].as_str().unwrap(), answer.id.as_ref());
        }
        if let Ok(chunk) = ChatChunk::parse(&bytes) {
            let value: Value = serde_json::from_slice(&bytes).unwrap();
            prop_assert_eq!(value["id"].as_str().unwrap(), chunk.id.as_ref());
        }
    }

    #[test]
    fn load_report_decoded(bytes in damaged_json()) {
        let _ = serde_json::from_slice::<LoadReport>(&bytes);
    }

    #[test]
    fn ticket_decoded(text in ".{0,200}", bytes in damaged_json()) {
        let _ = parse_ticket(&text);
        let _ = parse_ticket(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn entry_query_decoded(query in ".{0,64}") {
        let _ = serde_urlencoded::from_str::<HashMap<String, String>>(&query);
    }

    /// However the bytes are split, the same events come out; broken ones do
    /// not bring the reader down.
    #[test]
    fn events_decoded(
        texts in prop::collection::vec("[a-zA-Z0-9 äß€:]{0,20}", 1..8),
        cuts in prop::collection::vec(1usize..9, 1..40),
        noise in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let frame = |(i, it): (usize, &String)| format!("id: {i}\ndata: {}\n\n", json!({ "t": it }));
        let whole: Vec<u8> = texts.iter().enumerate().map(frame).collect::<String>().into_bytes();
        let mut rest = whole.as_slice();
        let mut pieces = Vec::new();
        for size in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (piece, after) = rest.split_at((*size).min(rest.len()));
            pieces.push(Ok::<_, std::io::Error>(piece.to_vec()));
            rest = after;
        }
        let read = stream::iter(pieces).eventsource().collect::<Vec<_>>();
        let events = read.now_or_never().unwrap();
        prop_assert_eq!(events.len(), texts.len());
        for (i, (event, text)) in events.into_iter().zip(&texts).enumerate() {
            let event = event.unwrap();
            prop_assert_eq!(event.id, i.to_string());
            prop_assert_eq!(event.data, json!({ "t": text }).to_string());
        }
        let broken = vec![Ok::<_, std::io::Error>(whole), Ok(noise)];
        let read = stream::iter(broken).eventsource().collect::<Vec<_>>();
        prop_assert!(read.now_or_never().is_some());
    }
}

/// A derived decoder takes an array for an object.
#[test]
fn array_is_no_answer() {
    assert!(ChatAnswer::parse(b"[\"id\", [1]]").is_err());
    assert!(ChatChunk::parse(b" [\"id\"]").is_err());
    assert!(ChatChunk::parse(b" {\"id\": \"a\"}").is_ok());
}
