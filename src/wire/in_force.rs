//! The state in force as routers tell it.

use serde_json::Value;

use crate::state::{Held, InForce, Kind, Outcome, Rejection};
use crate::wire::ticket::spec;

wire! {
    /// One object in force.
    pub struct WireHeld {
        /// Its kind.
        pub kind: Kind,
        /// Its name.
        pub name: String,
        /// Number of the ticket that it obeys.
        pub number: u64,
        /// Its state; null once removed.
        pub spec: Option<Value>,
    }

    /// What became of one record.
    pub struct WireOutcome {
        /// Offset of the record.
        pub offset: u64,
        /// Ticket number; 0 when the record could not be read.
        pub number: u64,
        /// Digest of the content.
        pub digest: u64,
        /// Why it is not in force; null when accepted.
        pub rejection: Option<Rejection>,
    }

    /// The whole state.
    pub struct WireInForce {
        /// Offset of the first record not yet folded.
        pub next: u64,
        /// Objects by kind and name.
        pub objects: Vec<WireHeld>,
        /// Accepted tickets: number, offset and digest.
        pub accepted: Vec<(u64, u64, u64)>,
        /// Recent outcomes, oldest first.
        pub outcomes: Vec<WireOutcome>,
    }
}

impl From<&InForce> for WireInForce {
    fn from(state: &InForce) -> WireInForce {
        let objects = state.objects.iter().map(|((kind, name), it)| WireHeld {
            kind: *kind,
            name: name.clone(),
            number: it.number,
            spec: it.spec.as_ref().map(Value::from),
        });
        let outcomes = state.outcomes.iter().map(|(offset, it)| WireOutcome {
            offset: *offset,
            number: it.number,
            digest: it.digest,
            rejection: it.rejection.clone(),
        });
        WireInForce {
            next: state.next,
            objects: objects.collect(),
            accepted: state.accepted.iter().map(|(n, (o, d))| (*n, *o, *d)).collect(),
            outcomes: outcomes.collect(),
        }
    }
}

impl TryFrom<WireInForce> for InForce {
    type Error = String;

    fn try_from(wire: WireInForce) -> Result<InForce, String> {
        let mut state = InForce { next: wire.next, ..InForce::default() };
        for it in wire.objects {
            let spec =
                it.spec.map(|value| spec(it.kind, value)).transpose().map_err(
                    |(path, fault)| format!("{} `{}`: {path}: {fault}", it.kind, it.name),
                )?;
            state.objects.insert((it.kind, it.name), Held { number: it.number, spec });
        }
        state.accepted = wire.accepted.into_iter().map(|(n, o, d)| (n, (o, d))).collect();
        state.outcomes = wire
            .outcomes
            .into_iter()
            .map(|it| {
                let outcome =
                    Outcome { number: it.number, digest: it.digest, rejection: it.rejection };
                (it.offset, outcome)
            })
            .collect();
        Ok(state)
    }
}
