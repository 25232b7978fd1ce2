//! Property tests of the decoders of messages from other processes: no input makes them
//! panic, and none is decoded to a wrong value.

use std::collections::HashMap;

use eventsource_stream::Eventsource;
use filberttiller::wire::{ChatAnswer, ChatChunk, ChatRequest, LoadReport, parse_ticket};
use futures_util::{FutureExt, StreamExt, stream};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use serde_json::{Value, json};

/// A configuration with a fixed seed, so that every run has the same cases.
pub fn fixed_seed() -> ProptestConfig {
    ProptestConfig { rng_seed: RngSeed::Fixed(7), failure_persistence: None, ..Default::default() }
}

/// Arbitrary JSON, in which the names of fields that the decoders read are frequent.
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

/// Arbitrary JSON text; of four cases, one is truncated and one has a changed byte.
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
    #![proptest_config(fixed_seed())]

    #[test]
    fn chat_request_decoded(bytes in damaged_json()) {
        if let Ok(request) = serde_json::from_slice::<ChatRequest>(&bytes) {
            let cost = request.cost();
            let encoded = serde_json::to_vec(&request).unwrap();
            let decoded: ChatRequest = serde_json::from_slice(&encoded).unwrap();
            prop_assert_eq!(decoded.cost(), cost);
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

    /// The decoded events do not depend on how the bytes are split into chunks, and random
    /// bytes after them do not make the decoder panic.
    #[test]
    fn events_decoded(
        texts in prop::collection::vec("[a-zA-Z0-9 äß€:]{0,20}", 1..8),
        cuts in prop::collection::vec(1usize..9, 1..40),
        noise in prop::collection::vec(any::<u8>(), 0..64),
    ) {
        let frame = |(i, it): (usize, &String)| format!("id: {i}\ndata: {}\n\n", json!({ "t": it }));
        let bytes: Vec<u8> = texts.iter().enumerate().map(frame).collect::<String>().into_bytes();
        let mut rest = bytes.as_slice();
        let mut chunks = Vec::new();
        for size in cuts.iter().cycle() {
            if rest.is_empty() {
                break;
            }
            let (chunk, after) = rest.split_at((*size).min(rest.len()));
            chunks.push(Ok::<_, std::io::Error>(chunk.to_vec()));
            rest = after;
        }
        let read = stream::iter(chunks).eventsource().collect::<Vec<_>>();
        let events = read.now_or_never().unwrap();
        prop_assert_eq!(events.len(), texts.len());
        for (i, (event, text)) in events.into_iter().zip(&texts).enumerate() {
            let event = event.unwrap();
            prop_assert_eq!(event.id, i.to_string());
            prop_assert_eq!(event.data, json!({ "t": text }).to_string());
        }
        let with_noise = vec![Ok::<_, std::io::Error>(bytes), Ok(noise)];
        let read = stream::iter(with_noise).eventsource().collect::<Vec<_>>();
        prop_assert!(read.now_or_never().is_some());
    }
}

/// A derived decoder accepts an array in place of an object, so `parse` must reject it.
#[test]
fn parse_rejects_array() {
    assert!(ChatAnswer::parse(b"[\"id\", [1]]").is_err());
    assert!(ChatChunk::parse(b" [\"id\"]").is_err());
    assert!(ChatChunk::parse(b" {\"id\": \"a\"}").is_ok());
}
