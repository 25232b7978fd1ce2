//! Lines of routers' logs.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde_json::{Map, Value};

use crate::events::{Event, HybridTime};

/// Fields that name what a line is about, the first that is there.
const SUBJECTS: [&str; 4] = ["request", "server", "router", "key"];
/// Fields that stand elsewhere in an event.
const OWN_FIELDS: [&str; 5] = ["msg", "level", "ts", "instance", "event"];

/// One line of a router's log.
#[derive(Debug, Clone, PartialEq)]
pub struct LogLine {
    /// Wall-clock time of the router.
    pub at: SystemTime,
    /// The router.
    pub instance: String,
    /// Number in the catalogue; 0 for a line without one.
    pub number: u16,
    /// What happened.
    pub text: String,
    /// All fields.
    fields: Map<String, Value>,
}

impl LogLine {
    /// Reads one line; none where it is not a line of a router.
    pub fn parse(line: &str) -> Option<LogLine> {
        // Collectors may put something before the line.
        let json = &line[line.find('{')?..];
        let fields: Map<String, Value> = serde_json::from_str(json).ok()?;
        let str_field = |name: &str| fields.get(name)?.as_str().map(str::to_owned);
        let at = humantime::parse_rfc3339_weak(&str_field("ts")?).ok()?;
        let number = fields.get("event").and_then(Value::as_u64).unwrap_or(0);
        Some(LogLine {
            at,
            instance: str_field("instance")?,
            number: u16::try_from(number).unwrap_or(0),
            text: str_field("msg")?,
            fields,
        })
    }

    /// A field that is a text.
    pub fn str_field(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// A field that is a whole number.
    pub fn u64_field(&self, name: &str) -> Option<u64> {
        self.fields.get(name)?.as_u64()
    }

    /// Whether it is the line of the request `id` at its end.
    pub fn ends_request(&self, id: &str) -> bool {
        self.str_field("outcome").is_some() && self.str_field("request") == Some(id)
    }

    /// The tries of a request, as server and result.
    pub fn attempts(&self) -> impl Iterator<Item = (&str, &str)> {
        let attempts = self.str_field("tries").unwrap_or_default().split(' ');
        attempts.filter_map(|it| {
            let mut parts = it.split(':');
            Some((parts.next()?, parts.nth(1)?))
        })
    }

    /// Whether it is `within` a time before or after `at`.
    pub fn is_near(&self, at: SystemTime, within: Duration) -> bool {
        let apart = self.at.duration_since(at).or_else(|_| at.duration_since(self.at));
        apart.is_ok_and(|it| it <= within)
    }

    /// The line as an event of the time line; `seq` is its place in the log.
    pub fn to_event(&self, seq: u64) -> Event {
        let subject = SUBJECTS.iter().find_map(|name| self.str_field(name)).unwrap_or_default();
        let is_detail = |name: &&String| !OWN_FIELDS.contains(&name.as_str());
        let told = |name: &String| {
            let value = &self.fields[name];
            let text = value.as_str().map_or_else(|| value.to_string(), str::to_owned);
            format!("{name}={text}")
        };
        let details: Vec<String> = self.fields.keys().filter(is_detail).map(told).collect();
        let at = self.at.duration_since(UNIX_EPOCH).unwrap_or_default();
        Event {
            seq,
            time: HybridTime::from_wall(self.at),
            at_us: at.as_micros() as u64,
            code: self.number,
            name: self.text.clone(),
            instance: self.instance.clone(),
            subject: subject.to_owned(),
            detail: details.join(" "),
        }
    }
}
