//! The ticket format that operators write.

use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::decide::hash_bytes;
use crate::state::{Kind, Object, Spec, Ticket, TicketError};

/// The ticket format that this program reads and writes.
const TICKET_VERSION: u32 = 1;

wire! {
    /// A ticket: a numbered set of changes.
    #[serde(deny_unknown_fields)]
    pub struct WireTicket {
        /// Version of the format.
        pub version: u32,
        /// Number chosen by the operator.
        pub number: u64,
        /// Who wrote it.
        #[serde(default)]
        pub author: String,
        /// Reason for the change.
        #[serde(default)]
        pub note: String,
        /// Objects that it changes.
        pub objects: Vec<WireObject>,
    }

    /// New state of one object.
    #[serde(deny_unknown_fields)]
    pub struct WireObject {
        /// Its kind.
        pub kind: Kind,
        /// Its name.
        pub name: String,
        /// Its complete new state; absent or null removes the object.
        #[serde(default)]
        pub spec: Option<Value>,
    }
}

impl TryFrom<WireTicket> for Ticket {
    type Error = TicketError;

    fn try_from(wire: WireTicket) -> Result<Ticket, TicketError> {
        if wire.version != TICKET_VERSION {
            return Err(TicketError::Version { found: wire.version, known: TICKET_VERSION });
        }
        let content = serde_json::to_vec(&wire).unwrap_or_default();
        let digest = hash_bytes(&content);
        let objects: Result<Vec<Object>, TicketError> =
            wire.objects.into_iter().enumerate().map(|(i, it)| object(i, it)).collect();
        let ticket = Ticket {
            number: wire.number,
            author: wire.author,
            note: wire.note,
            objects: objects?,
            digest,
        };
        ticket.check()?;
        Ok(ticket)
    }
}

/// Converts object `index` of a ticket.
fn object(index: usize, wire: WireObject) -> Result<Object, TicketError> {
    let spec = match wire.spec {
        None => None,
        Some(value) => Some(spec(wire.kind, value).map_err(|(path, fault)| {
            TicketError::Malformed { path: format!("objects[{index}].spec.{path}"), fault }
        })?),
    };
    Ok(Object { kind: wire.kind, name: wire.name, spec })
}

/// Parses the state of an object of `kind`; an error consists of path and fault.
pub(crate) fn spec(kind: Kind, value: Value) -> Result<Spec, (String, String)> {
    Ok(match kind {
        Kind::Model => Spec::Model(read(value)?),
        Kind::Adapter => Spec::Adapter(read(value)?),
        Kind::Service => Spec::Service(read(value)?),
        Kind::Organisation => Spec::Organisation(read(value)?),
        Kind::Experiment => Spec::Experiment(read(value)?),
        Kind::Policy => Spec::Policy(read(value)?),
        Kind::Suspect => Spec::Suspect(read(value)?),
    })
}

fn read<T: DeserializeOwned>(value: Value) -> Result<T, (String, String)> {
    serde_path_to_error::deserialize(value)
        .map_err(|e| (e.path().to_string(), e.inner().to_string()))
}

/// Parses and checks a ticket in JSON with comments.
///
/// # Errors
/// Fails on an invalid ticket; the error names the path and the fault.
pub fn parse_ticket(text: &str) -> Result<(WireTicket, Ticket), TicketError> {
    let malformed = |path: String, fault: String| TicketError::Malformed { path, fault };
    let value: Value =
        json5::from_str(text).map_err(|e| malformed(".".to_owned(), e.to_string()))?;
    let wire: WireTicket = read(value).map_err(|(path, fault)| malformed(path, fault))?;
    let ticket = Ticket::try_from(wire.clone())?;
    Ok((wire, ticket))
}

impl From<&Spec> for Value {
    fn from(spec: &Spec) -> Value {
        let value = match spec {
            Spec::Model(it) => serde_json::to_value(it),
            Spec::Adapter(it) => serde_json::to_value(it),
            Spec::Service(it) => serde_json::to_value(it),
            Spec::Organisation(it) => serde_json::to_value(it),
            Spec::Experiment(it) => serde_json::to_value(it),
            Spec::Policy(it) => serde_json::to_value(it),
            Spec::Suspect(it) => serde_json::to_value(it),
        };
        value.unwrap_or(Value::Null)
    }
}
