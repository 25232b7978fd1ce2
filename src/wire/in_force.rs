//! The state in force, as routers exchange it and show it to operators.

use serde_json::Value;

use crate::state::{Accepted, EarlierAcceptance, InForce, Kind, ObjectState, Outcome, Rejection};
use crate::wire::ticket::spec;

wire! {
    /// One object in force.
    pub struct WireObjectState {
        /// Its kind.
        pub kind: Kind,
        /// Its name.
        pub name: String,
        /// Number of the ticket that set its state.
        pub number: u64,
        /// Its state; null when it was removed.
        pub spec: Option<Value>,
    }

    /// Outcome of one record of the ticket stream.
    pub struct WireOutcome {
        /// Offset of the record.
        pub offset: u64,
        /// Ticket number; 0 when the record is unreadable.
        pub number: u64,
        /// Digest of the content.
        pub digest: u64,
        /// Why it was rejected; null when it was accepted.
        pub rejection: Option<Rejection>,
        /// Set when the same ticket was already accepted at an earlier offset.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub earlier: Option<WireEarlierAcceptance>,
    }

    /// Earlier acceptance of the same ticket.
    pub struct WireEarlierAcceptance {
        /// Offset at which it was accepted.
        pub offset: u64,
        /// Set when an object of the ticket had been changed by a ticket with a higher number
        /// in the meantime.
        pub replaced: Option<Rejection>,
    }

    /// The full state in force.
    pub struct WireInForce {
        /// Offset of the first record not yet folded.
        pub next: u64,
        /// Digest over all folded records.
        #[serde(default)]
        pub chain: u64,
        /// Digest of the record before `next`.
        #[serde(default)]
        pub tip: u64,
        /// Highest ticket number dropped from `accepted`.
        #[serde(default)]
        pub floor: u64,
        /// Objects, ordered by kind and name.
        pub objects: Vec<WireObjectState>,
        /// Accepted tickets: number, offset and digest.
        pub accepted: Vec<(u64, u64, u64)>,
        /// Recent outcomes, oldest first.
        pub outcomes: Vec<WireOutcome>,
    }
}

impl From<(u64, &Outcome)> for WireOutcome {
    fn from((offset, it): (u64, &Outcome)) -> WireOutcome {
        let earlier = it
            .earlier
            .as_ref()
            .map(|it| WireEarlierAcceptance { offset: it.offset, replaced: it.replaced.clone() });
        WireOutcome {
            offset,
            number: it.number,
            digest: it.digest,
            rejection: it.rejection.clone(),
            earlier,
        }
    }
}

impl From<WireOutcome> for Outcome {
    fn from(it: WireOutcome) -> Outcome {
        let earlier =
            it.earlier.map(|it| EarlierAcceptance { offset: it.offset, replaced: it.replaced });
        Outcome { number: it.number, digest: it.digest, rejection: it.rejection, earlier }
    }
}

impl From<&InForce> for WireInForce {
    fn from(state: &InForce) -> WireInForce {
        let objects = state.objects.iter().map(|(kind, name, it)| WireObjectState {
            kind,
            name: name.to_owned(),
            number: it.number,
            spec: it.spec.as_ref().map(Value::from),
        });
        WireInForce {
            next: state.next,
            chain: state.chain,
            tip: state.tip,
            floor: state.floor,
            objects: objects.collect(),
            accepted: state.accepted.iter().map(|(n, it)| (*n, it.offset, it.digest)).collect(),
            outcomes: state.outcomes.iter().map(|(at, it)| WireOutcome::from((*at, it))).collect(),
        }
    }
}

impl TryFrom<WireInForce> for InForce {
    type Error = String;

    fn try_from(wire: WireInForce) -> Result<InForce, String> {
        let mut state = InForce {
            next: wire.next,
            chain: wire.chain,
            tip: wire.tip,
            floor: wire.floor,
            ..InForce::default()
        };
        for it in wire.objects {
            let spec =
                it.spec.map(|value| spec(it.kind, value)).transpose().map_err(
                    |(path, fault)| format!("{} `{}`: {path}: {fault}", it.kind, it.name),
                )?;
            state.objects.insert(it.kind, &it.name, ObjectState { number: it.number, spec });
        }
        let accepted = wire.accepted.into_iter();
        state.accepted =
            accepted.map(|(n, offset, digest)| (n, Accepted { offset, digest })).collect();
        state.outcomes = wire.outcomes.into_iter().map(|it| (it.offset, it.into())).collect();
        Ok(state)
    }
}
