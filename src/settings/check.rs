//! Reading and checking of settings.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use error_stack::Report;

use crate::settings::{Problem, Settings, SettingsError};

/// Minimum length of the shared token and of secret keys.
const MIN_SECRET_CHARS: usize = 16;
/// Limit of the events stored for one group of threads.
const MAX_RING_EVENTS: usize = 65_536;
/// Limit of the chats whose backend server is remembered.
const MAX_CHATS: usize = 1_000_000;
/// Minimum control bytes per second.
const MIN_BUDGET_BYTES: u64 = 1_024;
/// Limit of the threads that serve callers.
const MAX_THREADS: usize = 256;

/// Reads and checks a settings file.
///
/// # Errors
/// Fails on an invalid file; the error names the file and all problems found.
pub fn read(path: &Path) -> Result<Settings, Report<SettingsError>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        let problem = Problem {
            place: "the file".to_owned(),
            found: format!("cannot be read ({e})"),
            expected: "expected a readable file in UTF-8".to_owned(),
        };
        Report::new(SettingsError { file: file.clone(), problems: vec![problem] })
    })?;
    parse(&file, &text)
}

/// Parses and checks the text of a settings file called `file`.
///
/// # Errors
/// Fails on an invalid text; the error names the file and all problems found.
pub fn parse(file: &str, text: &str) -> Result<Settings, Report<SettingsError>> {
    let fail = |problems| Report::new(SettingsError { file: file.to_owned(), problems });
    let mut source = json5::Deserializer::from_str(text);
    let settings: Settings =
        serde_path_to_error::deserialize(&mut source).map_err(|e| fail(vec![parse_problem(&e)]))?;
    let problems = value_problems(&settings);
    if problems.is_empty() { Ok(settings) } else { Err(fail(problems)) }
}

/// Converts an error of the parser: not JSON, an unknown key, a wrong type or unit.
fn parse_problem(error: &serde_path_to_error::Error<json5::Error>) -> Problem {
    let path = error.path().to_string();
    let at = error
        .inner()
        .position()
        .map(|it| format!("line {}, column {}", it.line + 1, it.column + 1));
    let place = match (path.as_str(), at) {
        (".", Some(at)) => at,
        (_, Some(at)) => format!("{path} ({at})"),
        (_, None) => path.clone(),
    };
    Problem { place, found: error.inner().to_string(), expected: expected_at(&path).to_owned() }
}

/// What the parser expects at `path`.
fn expected_at(path: &str) -> &'static str {
    match path {
        "listen" | "control" | "log" | "list" => {
            "expected an IP address with a port, as in `10.0.0.1:8080`"
        }
        "limits.body" | "limits.head" | "limits.answer" | "state.budget" => {
            "expected a size with a unit, as in `1MiB` or `16KiB`"
        }
        _ if path.contains("control") => {
            "expected an IP address with a port, as in `10.0.0.1:8080`"
        }
        "." => "`filberttiller init` prints all keys",
        _ => {
            "`filberttiller init` prints a valid value for each key; times need a unit, as in `500ms`"
        }
    }
}

/// All values that have the right type but are not allowed.
fn value_problems(settings: &Settings) -> Vec<Problem> {
    let mut found = Vec::new();
    let mut expect = |is_valid: bool, place: &str, value: String, expected: &str| {
        if !is_valid {
            found.push(Problem {
                place: place.to_owned(),
                found: value,
                expected: expected.to_owned(),
            });
        }
    };
    let s = settings;
    expect(!s.name.is_empty(), "name", "is empty".to_owned(), "expected a unique name");
    expect(!s.domain.is_empty(), "domain", "is empty".to_owned(), "expected a name");
    expect(
        s.token.len() >= MIN_SECRET_CHARS,
        "token",
        format!("has {} characters", s.token.len()),
        "expected at least 16",
    );
    let is_same = s.listen == s.control && s.listen.port() != 0;
    expect(!is_same, "control", "equals `listen`".to_owned(), "expected two different addresses");
    let mut names = BTreeSet::from([s.name.as_str()]);
    for (i, it) in s.seeds.iter().enumerate() {
        let place = format!("seeds[{i}].name");
        let is_unique = names.insert(&it.name);
        expect(is_unique, &place, format!("`{}` is used twice", it.name), "names must be unique");
    }
    let size = s.limits.body.as_u64();
    expect(size > 0, "limits.body", "is 0".to_owned(), "expected a size above 0");
    let answer = s.limits.answer.as_u64();
    expect(answer > 0, "limits.answer", "is 0".to_owned(), "expected a size above 0");
    let head = s.limits.head.as_u64();
    expect(head >= 8_192, "limits.head", format!("is {head} bytes"), "expected at least 8KiB");
    for (place, count) in [
        ("limits.connections", s.limits.connections),
        ("limits.address_connections", s.limits.address_connections),
    ] {
        expect(count > 0, place, "is 0".to_owned(), "expected at least 1");
    }
    let threads = s.traffic.threads;
    expect(
        (1..=MAX_THREADS).contains(&threads),
        "traffic.threads",
        format!("is {threads}"),
        "expected 1 to 256",
    );
    let attempts = s.traffic.tries;
    expect(attempts > 0, "traffic.tries", "is 0".to_owned(), "expected at least 1");
    let addresses = s.traffic.entry_addresses;
    expect(addresses > 0, "traffic.entry_addresses", "is 0".to_owned(), "expected at least 1");
    once_problems(s, &mut expect);
    let headroom = s.admission.headroom;
    expect(
        headroom >= 1.0 && headroom.is_finite(),
        "admission.headroom",
        format!("is {headroom}"),
        "expected at least 1",
    );
    let ring = s.events.ring;
    expect(
        (1..=MAX_RING_EVENTS).contains(&ring),
        "events.ring",
        format!("is {ring}"),
        "expected 1 to 65536",
    );
    let chats = s.routing.chats;
    expect(
        (1..=MAX_CHATS).contains(&chats),
        "routing.chats",
        format!("is {chats}"),
        "expected 1 to 1000000",
    );
    let short = s.admission.short_headroom;
    expect(
        short >= headroom && short.is_finite(),
        "admission.short_headroom",
        format!("is {short}"),
        "expected at least `headroom`",
    );
    let budget = s.state_sync.budget.as_u64();
    let expected = "expected at least 1KiB";
    expect(budget >= MIN_BUDGET_BYTES, "state.budget", format!("is {budget} bytes"), expected);
    for (place, time) in positive_times(s) {
        expect(time > Duration::ZERO, place, "is 0".to_owned(), "expected a time above 0");
    }
    found
}

/// All times that must be above 0.
fn positive_times(s: &Settings) -> [(&'static str, Duration); 18] {
    [
        ("limits.receive", s.limits.receive),
        ("limits.send", s.limits.send),
        ("traffic.connect", s.traffic.connect),
        ("traffic.deadline", s.traffic.deadline),
        ("traffic.idle", s.traffic.idle),
        ("traffic.entry_ttl", s.traffic.entry_ttl),
        ("traffic.drain", s.traffic.drain),
        ("admission.wait", s.admission.wait),
        ("admission.aging", s.admission.aging),
        ("state.gossip_every", s.state_sync.gossip_every),
        ("state.mark_hold", s.state_sync.mark_hold),
        ("state.snapshot_every", s.state_sync.snapshot_every),
        ("state.list_every", s.state_sync.list_every),
        ("state.load_every", s.state_sync.load_every),
        ("state.log_wait", s.state_sync.log_wait),
        ("state.retry_every", s.state_sync.retry_every),
        ("orders.every", s.orders.every),
        ("orders.hold", s.orders.hold),
    ]
}

/// Checks the sections `once`, `orders`, `crashes` and `keys`.
fn once_problems(s: &Settings, expect: &mut impl FnMut(bool, &str, String, &str)) {
    let is_valid = s.once.retention >= s.once.key_age * 2;
    let found = format!("is {:?}", s.once.retention);
    expect(is_valid, "once.retention", found, "expected at least twice `once.key_age`");
    for (place, time) in [("once.key_age", s.once.key_age), ("once.claim_wait", s.once.claim_wait)]
    {
        expect(time > Duration::ZERO, place, "is 0".to_owned(), "expected a time above 0");
    }
    let counts = [
        ("once.appends", s.once.appends as usize),
        ("once.keys", s.once.keys),
        ("orders.loads", s.orders.loads),
        ("crashes.limit", s.crashes.limit),
    ];
    for (place, count) in counts {
        expect(count > 0, place, "is 0".to_owned(), "expected at least 1");
    }
    for (i, it) in s.keys.iter().enumerate() {
        let found = format!("has {} characters", it.secret.len());
        let is_valid = it.secret.len() >= MIN_SECRET_CHARS;
        expect(is_valid, &format!("keys[{i}].secret"), found, "expected at least 16");
    }
}
