//! Tests of the signatures (MACs) of issued idempotency keys and chat hints.

use filberttiller::keys::{
    IssuedKey, KeyError, KeyRing, read_hint, read_key, write_hint, write_key,
};
use filberttiller::settings::FleetKey;
use proptest::prelude::{ProptestConfig, any, prop_assert, proptest};
use rstest::rstest;

/// Uses a fixed seed, so proptest saves no failing cases to a file.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(7),
        ..ProptestConfig::default()
    }
}

/// A key ring with `secrets`. Without fleet keys, the token signs.
fn key_ring(secrets: &[&str]) -> KeyRing {
    let key = |it: &&str| FleetKey { id: String::new(), secret: (*it).to_owned() };
    KeyRing::new(&secrets.iter().map(key).collect::<Vec<_>>(), "the-token-of-the-fleet")
}

const KEY: IssuedKey = IssuedKey { router: 3, incarnation: 4, issued_ms: 5 };

#[rstest]
#[case::same(&["old-secret-of-fleet"], true)]
#[case::new_added(&["old-secret-of-fleet", "new-secret-of-fleet"], true)]
#[case::new_first(&["new-secret-of-fleet", "old-secret-of-fleet"], true)]
#[case::old_removed(&["new-secret-of-fleet"], false)]
#[case::no_keys(&[], false)]
fn key_ring_rotates(#[case] secrets: &[&str], #[case] is_valid: bool) {
    let hint = write_hint(&key_ring(&["old-secret-of-fleet"]), 9, 1, 2);
    let key = write_key(&key_ring(&["old-secret-of-fleet"]), "dalisay", &KEY);
    let ring = key_ring(secrets);
    assert_eq!(read_hint(&ring, 9, &hint), is_valid.then_some((1, 2)));
    let expected = if is_valid { Ok(KEY) } else { Err(KeyError::NotIssued) };
    assert_eq!(read_key(&ring, "dalisay", &key), Some(expected));
}

#[test]
fn hint_of_other_chat_refused() {
    let ring = key_ring(&[]);
    let hint = write_hint(&ring, 9, 1, 2);
    assert_eq!(read_hint(&ring, 9, &hint), Some((1, 2)));
    assert_eq!(read_hint(&ring, 10, &hint), None);
}

#[test]
fn key_of_other_organisation_refused() {
    let ring = key_ring(&[]);
    let key = write_key(&ring, "dalisay", &KEY);
    // A caller may append a suffix to an issued key.
    assert_eq!(read_key(&ring, "dalisay", &format!("{key}.order-17")), Some(Ok(KEY)));
    assert_eq!(read_key(&ring, "pierscionkowo", &key), Some(Err(KeyError::NotIssued)));
    assert_eq!(read_key(&ring, "dalisay", "order-17"), None);
    assert_eq!(read_key(&ring, "dalisay", "fk1.order-17"), Some(Err(KeyError::Malformed)));
}

proptest! {
    #![proptest_config(fixed_seed())]

    #[test]
    fn decoders_reject_arbitrary_text(text in any::<String>(), chat in any::<u64>()) {
        let ring = key_ring(&[]);
        prop_assert!(read_hint(&ring, chat, &text).is_none());
        let key = format!("fk1.{text}");
        prop_assert!(matches!(read_key(&ring, "dalisay", &key), Some(Err(_))));
        // Any result is accepted; it must not panic.
        let _ = read_key(&ring, "dalisay", &text);
    }

    #[test]
    fn hint_with_changed_byte_refused(at in 0usize..32, byte in any::<u8>()) {
        let ring = key_ring(&[]);
        let hint = write_hint(&ring, 9, 1, 2);
        let mut bytes = hint.clone().into_bytes();
        bytes[at] = byte;
        let changed = String::from_utf8_lossy(&bytes).into_owned();
        prop_assert!(changed == hint || read_hint(&ring, 9, &changed).is_none());
    }
}
