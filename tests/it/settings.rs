//! Parsing of settings, and the error for each kind of fault.

use filberttiller::settings::{DEFAULT_TEXT, parse};
use rstest::rstest;

#[test]
fn parse_default_text() {
    let settings = parse("default.jsonc", DEFAULT_TEXT).unwrap();
    assert_eq!(settings.name, "entry-1");
}

#[rstest]
#[case::unknown_key("\"seeds\": []", "\"sedes\": []", "sedes")]
#[case::wrong_unit("\"receive\": \"10s\"", "\"receive\": \"10 parsecs\"", "limits.receive")]
#[case::bad_address("127.0.0.1:8081", "localhost", "control")]
#[case::same_address("127.0.0.1:8081", "127.0.0.1:8080", "control")]
#[case::short_token("change-this-token", "short", "token")]
#[case::zero_tries("\"tries\": 3", "\"tries\": 0", "traffic.tries")]
#[case::zero_connections("\"connections\": 16384", "\"connections\": 0", "limits.connections:")]
#[case::zero_address_connections(
    "\"address_connections\": 8192",
    "\"address_connections\": 0",
    "limits.address_connections:"
)]
#[case::duplicate_name(
    "\"seeds\": []",
    "\"seeds\": [{\"name\": \"entry-1\", \"control\": \"127.0.0.1:1\"}]",
    "seeds[0].name"
)]
fn parse_names_place_of_fault(#[case] from: &str, #[case] to: &str, #[case] place: &str) {
    let text = DEFAULT_TEXT.replace(from, to);
    assert_ne!(text, DEFAULT_TEXT);
    let report = parse("entry.jsonc", &text).unwrap_err();
    let error = report.current_context();
    let shown = error.to_string();
    assert!(shown.contains("entry.jsonc") && shown.contains(place), "{shown}");
}
