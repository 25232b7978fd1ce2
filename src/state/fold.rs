//! The fold of the ticket stream into the state in force.

use std::collections::BTreeMap;

use crate::decide::{combine, hash_bytes};
use crate::state::{
    AdapterSpec, ExperimentSpec, Kind, ModelSpec, ObjectState, Objects, OrganisationSpec,
    PolicySpec, Rejection, ServiceSpec, Spec, Ticket,
};

plain! {
    /// Result of folding one record of the stream.
    pub struct Outcome {
        /// Ticket number; 0 when the record could not be read.
        pub number: u64,
        /// Digest of the content.
        pub digest: u64,
        /// Why it is not in force; `None` when accepted.
        pub rejection: Option<Rejection>,
        /// Set when the same ticket had been accepted before.
        pub earlier: Option<EarlierAcceptance>,
    }

    /// An earlier acceptance of the same ticket.
    pub struct EarlierAcceptance {
        /// Offset at which it was accepted.
        pub offset: u64,
        /// The first object of the ticket that a higher number has replaced since.
        pub replaced: Option<Rejection>,
    }

    /// An accepted ticket.
    #[derive(Copy)]
    pub struct Accepted {
        /// Offset at which it was accepted.
        pub offset: u64,
        /// Digest of its content.
        pub digest: u64,
    }

    /// The state in force: a pure function of the records before `next`.
    #[derive(Default)]
    pub struct InForce {
        /// Offset of the first record not yet folded. Invariant: never falls.
        pub next: u64,
        /// Digest over all records folded; equal for equal histories.
        pub chain: u64,
        /// Digest of the record before `next`; 0 when there is none.
        pub tip: u64,
        /// All objects.
        pub objects: Objects,
        /// Accepted tickets by number. Invariant: all above `floor`, at most
        /// [`MAX_ACCEPTED`].
        pub accepted: BTreeMap<u64, Accepted>,
        /// Highest number dropped from `accepted`. Invariant: never falls.
        pub floor: u64,
        /// Recent outcomes by offset, oldest dropped first.
        pub outcomes: Outcomes,
    }
}

/// Outcomes by offset.
pub type Outcomes = BTreeMap<u64, Outcome>;

/// Limit of stored accepted tickets; the lowest numbers are dropped first.
pub const MAX_ACCEPTED: usize = 4_096;
/// Limit of stored outcomes.
const MAX_OUTCOMES: usize = 1_024;

impl InForce {
    /// Folds the record at `offset`; false, without any change, when that is not the
    /// next offset.
    ///
    /// A ticket is accepted when its number is above the number in force of every
    /// object that it changes, above `floor`, and not used by another ticket. The
    /// same number with the same content is the same ticket again.
    pub fn fold(&mut self, offset: u64, record: Result<Ticket, String>) -> bool {
        if offset != self.next {
            return false;
        }
        self.next = offset + 1;
        self.tip = record_digest(&record);
        self.chain = combine(self.chain, self.tip);
        let outcome = match record {
            Err(fault) => Outcome {
                number: 0,
                digest: 0,
                rejection: Some(Rejection::Invalid { fault }),
                earlier: None,
            },
            Ok(ticket) => self.decide(offset, &ticket),
        };
        self.outcomes.insert(offset, outcome);
        while self.outcomes.len() > MAX_OUTCOMES {
            self.outcomes.pop_first();
        }
        true
    }

    fn decide(&mut self, offset: u64, ticket: &Ticket) -> Outcome {
        let rejection = self.rejection(ticket);
        let known = self.accepted.get(&ticket.number).copied();
        if rejection.is_none() && known.is_none() {
            self.accept(offset, ticket);
        }
        let earlier = known.filter(|_| rejection.is_none()).map(|it| EarlierAcceptance {
            offset: it.offset,
            replaced: self.outdated(ticket, |current| current > ticket.number),
        });
        Outcome { number: ticket.number, digest: ticket.digest, rejection, earlier }
    }

    fn accept(&mut self, offset: u64, ticket: &Ticket) {
        self.accepted.insert(ticket.number, Accepted { offset, digest: ticket.digest });
        for it in &ticket.objects {
            let state = ObjectState { number: ticket.number, spec: it.spec.clone() };
            self.objects.insert(it.kind, &it.name, state);
        }
        while self.accepted.len() > MAX_ACCEPTED {
            if let Some((number, _)) = self.accepted.pop_first() {
                self.floor = number;
            }
        }
    }

    /// Why `ticket` is rejected; `None` when it can come into force or already did.
    pub fn rejection(&self, ticket: &Ticket) -> Option<Rejection> {
        if let Some(it) = self.accepted.get(&ticket.number) {
            let same = it.digest == ticket.digest;
            return (!same).then_some(Rejection::NumberUsed { offset: it.offset });
        }
        if let Some(it) = self.outdated(ticket, |current| current >= ticket.number) {
            return Some(it);
        }
        (ticket.number <= self.floor).then_some(Rejection::Forgotten { floor: self.floor })
    }

    /// The first object of `ticket` whose number in force is `too_high`.
    fn outdated(&self, ticket: &Ticket, too_high: impl Fn(u64) -> bool) -> Option<Rejection> {
        ticket.objects.iter().find_map(|it| {
            let current = self.objects.get(it.kind, &it.name)?;
            too_high(current.number).then(|| Rejection::Outdated {
                kind: it.kind,
                name: it.name.clone(),
                number: current.number,
            })
        })
    }

    /// The model called `name`.
    pub fn model(&self, name: &str) -> Option<&ModelSpec> {
        match self.spec(Kind::Model, name)? {
            Spec::Model(it) => Some(it),
            _ => None,
        }
    }

    /// The adapter called `name`.
    pub fn adapter(&self, name: &str) -> Option<&AdapterSpec> {
        match self.spec(Kind::Adapter, name)? {
            Spec::Adapter(it) => Some(it),
            _ => None,
        }
    }

    /// The models, by name.
    pub fn models(&self) -> impl Iterator<Item = (&str, &ModelSpec)> {
        self.objects.of_kind(Kind::Model).filter_map(|(name, it)| match &it.spec {
            Some(Spec::Model(spec)) => Some((name, spec)),
            _ => None,
        })
    }

    /// The adapters, by name.
    pub fn adapters(&self) -> impl Iterator<Item = (&str, &AdapterSpec)> {
        self.objects.of_kind(Kind::Adapter).filter_map(|(name, it)| match &it.spec {
            Some(Spec::Adapter(spec)) => Some((name, spec)),
            _ => None,
        })
    }

    /// Whether engines are ordered to load the model or adapter that requests
    /// address by `name`, with or without `@version`.
    pub fn is_ordered(&self, name: &str) -> bool {
        let name = name.split_once('@').map_or(name, |it| it.0);
        match self.model(name) {
            Some(it) => it.copies.is_some(),
            None => self.adapter(name).is_some_and(|it| it.copies.is_some()),
        }
    }

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        match self.spec(Kind::Service, name)? {
            Spec::Service(it) => Some(it),
            _ => None,
        }
    }

    /// The experiments, by name.
    pub fn experiments(&self) -> impl Iterator<Item = (&str, &ExperimentSpec)> {
        self.objects.of_kind(Kind::Experiment).filter_map(|(name, it)| match &it.spec {
            Some(Spec::Experiment(spec)) => Some((name, spec)),
            _ => None,
        })
    }

    /// The organisation called `name`.
    pub fn organisation(&self, name: &str) -> Option<&OrganisationSpec> {
        match self.spec(Kind::Organisation, name)? {
            Spec::Organisation(it) => Some(it),
            _ => None,
        }
    }

    /// The routing policy called `name`.
    pub fn policy(&self, name: &str) -> Option<&PolicySpec> {
        match self.spec(Kind::Policy, name)? {
            Spec::Policy(it) => Some(it),
            _ => None,
        }
    }

    /// Number of the ticket that lifted the suspicion against the request with
    /// `fingerprint`; 0 when none has.
    pub fn lift(&self, fingerprint: u64) -> u64 {
        let suspect = self.objects.get(Kind::Suspect, &format!("{fingerprint:016x}"));
        let is_lifted =
            |it: &&ObjectState| matches!(&it.spec, Some(Spec::Suspect(spec)) if spec.lifted);
        suspect.filter(is_lifted).map_or(0, |it| it.number)
    }

    fn spec(&self, kind: Kind, name: &str) -> Option<&Spec> {
        self.objects.get(kind, name)?.spec.as_ref()
    }
}

/// Digest of one record. That of an unreadable record is the hash of its error, so
/// all routers must describe the same fault by the same text.
pub(crate) fn record_digest(record: &Result<Ticket, String>) -> u64 {
    match record {
        Ok(ticket) => ticket.digest,
        Err(fault) => hash_bytes(fault.as_bytes()),
    }
}
