//! The fold of the ticket stream into the state in force.

use std::collections::BTreeMap;

use crate::state::{
    AdapterSpec, ExperimentSpec, Kind, ModelSpec, OrganisationSpec, PolicySpec, Rejection,
    ServiceSpec, Spec, Ticket,
};

plain! {
    /// One object in force.
    pub struct Held {
        /// Number of the ticket that it obeys. Invariant: never falls.
        pub number: u64,
        /// Its state; `None` once removed.
        pub spec: Option<Spec>,
    }

    /// What became of one record of the stream.
    pub struct Outcome {
        /// Ticket number; 0 when the record could not be read.
        pub number: u64,
        /// Digest of the content.
        pub digest: u64,
        /// Why it is not in force; `None` when accepted.
        pub rejection: Option<Rejection>,
    }

    /// The state in force: a pure function of the records before `next`.
    #[derive(Default)]
    pub struct InForce {
        /// Offset of the first record not yet folded. Invariant: never falls.
        pub next: u64,
        /// Objects by kind and name.
        pub objects: BTreeMap<(Kind, String), Held>,
        /// Accepted tickets: offset and digest by number.
        pub accepted: BTreeMap<u64, (u64, u64)>,
        /// Recent outcomes by offset, oldest dropped first.
        pub outcomes: Verdicts,
    }
}

/// Outcomes by offset.
pub type Verdicts = BTreeMap<u64, Outcome>;

/// Outcomes kept for reading back.
const OUTCOMES_KEPT: usize = 4_096;

impl InForce {
    /// Folds the record at `offset`; records already folded change nothing.
    ///
    /// A ticket is accepted when its number is above the number in force of
    /// every object that it touches and no other ticket has the number. The same
    /// number with the same content is the same ticket again.
    pub fn fold(&mut self, offset: u64, record: Result<Ticket, String>) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        let outcome = match record {
            Err(fault) => {
                let rejection = Some(Rejection::Invalid { fault });
                Outcome { number: 0, digest: 0, rejection }
            }
            Ok(ticket) => self.decide(offset, &ticket),
        };
        self.outcomes.insert(offset, outcome);
        while self.outcomes.len() > OUTCOMES_KEPT {
            self.outcomes.pop_first();
        }
    }

    fn decide(&mut self, offset: u64, ticket: &Ticket) -> Outcome {
        let rejection = self.rejection(ticket);
        if rejection.is_none() && !self.accepted.contains_key(&ticket.number) {
            self.accepted.insert(ticket.number, (offset, ticket.digest));
            for it in &ticket.objects {
                let held = Held { number: ticket.number, spec: it.spec.clone() };
                self.objects.insert((it.kind, it.name.clone()), held);
            }
        }
        Outcome { number: ticket.number, digest: ticket.digest, rejection }
    }

    /// Why `ticket` cannot come into force, if it cannot.
    pub fn rejection(&self, ticket: &Ticket) -> Option<Rejection> {
        if let Some(&(offset, digest)) = self.accepted.get(&ticket.number) {
            let same = digest == ticket.digest;
            return (!same).then_some(Rejection::NumberUsed { offset });
        }
        ticket.objects.iter().find_map(|it| {
            let held = self.objects.get(&(it.kind, it.name.clone()))?;
            (held.number >= ticket.number).then(|| Rejection::Outdated {
                kind: it.kind,
                name: it.name.clone(),
                number: held.number,
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

    /// The service called `name`.
    pub fn service(&self, name: &str) -> Option<&ServiceSpec> {
        match self.spec(Kind::Service, name)? {
            Spec::Service(it) => Some(it),
            _ => None,
        }
    }

    /// The experiments, by name.
    pub fn experiments(&self) -> impl Iterator<Item = (&str, &ExperimentSpec)> {
        let first = (Kind::Experiment, String::new());
        let found =
            self.objects.range(first..).take_while(|((kind, _), _)| *kind == Kind::Experiment);
        found.filter_map(|((_, name), it)| match &it.spec {
            Some(Spec::Experiment(spec)) => Some((name.as_str(), spec)),
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

    fn spec(&self, kind: Kind, name: &str) -> Option<&Spec> {
        self.objects.get(&(kind, name.to_owned()))?.spec.as_ref()
    }
}
