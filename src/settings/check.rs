//! Reading and checking of settings.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use error_stack::Report;

use crate::settings::{Problem, Settings, SettingsError};

/// Fewest characters of the shared token.
const MIN_TOKEN: usize = 16;
/// Most events kept for one group of threads.
const MAX_RING: usize = 65_536;
/// Most chats whose place is remembered.
const MAX_CHATS: usize = 1_000_000;
/// Fewest control bytes a second.
const MIN_BUDGET: u64 = 1_024;
/// Most threads that carry requests.
const MAX_THREADS: usize = 256;

/// Reads and checks a settings file.
///
/// # Errors
/// Names the file and every problem found.
pub fn read(path: &Path) -> Result<Settings, Report<SettingsError>> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path).map_err(|e| {
        let problem = Problem {
            place: "the file".to_owned(),
            found: format!("cannot be read ({e})"),
            allowed: "a readable file in UTF-8 is needed".to_owned(),
        };
        Report::new(SettingsError { file: file.clone(), problems: vec![problem] })
    })?;
    parse(&file, &text)
}

/// Reads and checks the text of a settings file called `file`.
///
/// # Errors
/// Names the file and every problem found.
pub fn parse(file: &str, text: &str) -> Result<Settings, Report<SettingsError>> {
    let fail = |problems| Report::new(SettingsError { file: file.to_owned(), problems });
    let mut source = json5::Deserializer::from_str(text);
    let settings: Settings =
        serde_path_to_error::deserialize(&mut source).map_err(|e| fail(vec![form_problem(&e)]))?;
    let problems = problems(&settings);
    if problems.is_empty() { Ok(settings) } else { Err(fail(problems)) }
}

/// A problem of form: not JSON, an unknown key, a wrong type or unit.
fn form_problem(error: &serde_path_to_error::Error<json5::Error>) -> Problem {
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
    Problem { place, found: error.inner().to_string(), allowed: allowed_at(&path).to_owned() }
}

/// What may stand at `path`.
fn allowed_at(path: &str) -> &'static str {
    match path {
        "listen" | "control" | "log" | "list" => "an IP number with a port, as in `10.0.0.1:8080`",
        "limits.body" | "limits.head" | "limits.answer" | "state.budget" => {
            "a size with a unit, as in `1MiB` or `16KiB`"
        }
        _ if path.contains("control") => "an IP number with a port, as in `10.0.0.1:8080`",
        "." => "see `filberttiller init` for all keys",
        _ => "see `filberttiller init` for the form of each key; times have a unit, as in `500ms`",
    }
}

/// Everything that is wrong although the form is right.
fn problems(settings: &Settings) -> Vec<Problem> {
    let mut found = Vec::new();
    let mut expect = |good: bool, place: &str, value: String, allowed: &str| {
        if !good {
            found.push(Problem {
                place: place.to_owned(),
                found: value,
                allowed: allowed.to_owned(),
            });
        }
    };
    let s = settings;
    expect(!s.name.is_empty(), "name", "it is empty".to_owned(), "a unique name is needed");
    expect(!s.domain.is_empty(), "domain", "it is empty".to_owned(), "a name is needed");
    expect(
        s.token.len() >= MIN_TOKEN,
        "token",
        format!("it has {} characters", s.token.len()),
        "at least 16 are needed",
    );
    let clash = s.listen == s.control && s.listen.port() != 0;
    expect(!clash, "control", "it equals `listen`".to_owned(), "two addresses are needed");
    let mut names = BTreeSet::from([s.name.as_str()]);
    for (i, it) in s.seeds.iter().enumerate() {
        let place = format!("seeds[{i}].name");
        let fresh = names.insert(&it.name);
        expect(fresh, &place, format!("`{}` stands twice", it.name), "names must differ");
    }
    let size = s.limits.body.as_u64();
    expect(size > 0, "limits.body", "it is 0".to_owned(), "a size above 0 is needed");
    let answer = s.limits.answer.as_u64();
    expect(answer > 0, "limits.answer", "it is 0".to_owned(), "a size above 0 is needed");
    let head = s.limits.head.as_u64();
    expect(head >= 8_192, "limits.head", format!("it is {head} bytes"), "at least 8KiB is needed");
    for (place, most) in [
        ("limits.connections", s.limits.connections),
        ("limits.address_connections", s.limits.address_connections),
    ] {
        expect(most > 0, place, "it is 0".to_owned(), "at least 1 is needed");
    }
    let threads = s.traffic.threads;
    expect(
        (1..=MAX_THREADS).contains(&threads),
        "traffic.threads",
        format!("it is {threads}"),
        "1 to 256 are allowed",
    );
    let tries = s.traffic.tries;
    expect(tries > 0, "traffic.tries", "it is 0".to_owned(), "at least 1 is needed");
    let addresses = s.traffic.entry_addresses;
    expect(addresses > 0, "traffic.entry_addresses", "it is 0".to_owned(), "at least 1 is needed");
    once_problems(s, &mut expect);
    let headroom = s.admission.headroom;
    expect(
        headroom >= 1.0 && headroom.is_finite(),
        "admission.headroom",
        format!("it is {headroom}"),
        "at least 1 is needed",
    );
    let ring = s.events.ring;
    expect(
        (1..=MAX_RING).contains(&ring),
        "events.ring",
        format!("it is {ring}"),
        "1 to 65536 are allowed",
    );
    let chats = s.routing.chats;
    expect(
        (1..=MAX_CHATS).contains(&chats),
        "routing.chats",
        format!("it is {chats}"),
        "1 to 1000000 are allowed",
    );
    let short = s.admission.short_headroom;
    expect(
        short >= headroom && short.is_finite(),
        "admission.short_headroom",
        format!("it is {short}"),
        "at least `headroom` is needed",
    );
    let budget = s.state_sync.budget.as_u64();
    let enough = "at least 1KiB is needed";
    expect(budget >= MIN_BUDGET, "state.budget", format!("it is {budget} bytes"), enough);
    for (place, time) in times(s) {
        expect(time > Duration::ZERO, place, "it is 0".to_owned(), "a time above 0 is needed");
    }
    found
}

/// All times that must be above 0.
fn times(s: &Settings) -> [(&'static str, Duration); 18] {
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

/// What is wrong with the sections `once` and `keys`.
fn once_problems(s: &Settings, expect: &mut impl FnMut(bool, &str, String, &str)) {
    let kept = s.once.retention >= s.once.key_age * 2;
    let found = format!("it is {:?}", s.once.retention);
    expect(kept, "once.retention", found, "at least twice `once.key_age` is needed");
    for (place, time) in [("once.key_age", s.once.key_age), ("once.claim_wait", s.once.claim_wait)]
    {
        expect(time > Duration::ZERO, place, "it is 0".to_owned(), "a time above 0 is needed");
    }
    let counts = [
        ("once.appends", s.once.appends as usize),
        ("once.keys", s.once.keys),
        ("orders.loads", s.orders.loads),
        ("crashes.limit", s.crashes.limit),
    ];
    for (place, count) in counts {
        expect(count > 0, place, "it is 0".to_owned(), "at least 1 is needed");
    }
    for (i, it) in s.keys.iter().enumerate() {
        let found = format!("it has {} characters", it.secret.len());
        let good = it.secret.len() >= MIN_TOKEN;
        expect(good, &format!("keys[{i}].secret"), found, "at least 16 are needed");
    }
}
