//! The failure domains that operators have evacuated.

use std::collections::BTreeSet;
use std::time::Instant;

use crate::decide::is_news;
use crate::servers::Position;
use crate::wire::WireEvacuations;

plain! {
    /// A record of the operators about one failure domain.
    pub struct EvacuationChange {
        /// Name of the domain.
        pub domain: String,
        /// Whether it is evacuated from now on, or taken back.
        pub is_evacuated: bool,
    }

    /// All evacuated domains as of a position in the operators' records.
    #[derive(Default)]
    pub struct EvacuatedDomains {
        /// Their names.
        pub names: BTreeSet<String>,
        /// The position.
        pub position: Position,
    }

    /// Whether what another router knows was taken in.
    #[derive(Copy)]
    pub enum EvacuationMerge {
        /// It is known already.
        Known,
        /// It was newer.
        TakenIn,
        /// It is older than what is known, or cannot be compared with it.
        Outdated,
    }
}

/// What a router knows of evacuated domains.
///
/// Invariant: the position never goes back, so that older knowledge undoes nothing.
#[derive(Debug, Default)]
pub struct Evacuations {
    current: EvacuatedDomains,
    /// When the set of domains last changed here.
    changed: Option<Instant>,
}

impl Evacuations {
    /// The domains that are evacuated.
    pub fn domains(&self) -> &BTreeSet<String> {
        &self.current.names
    }

    /// Applies records that were read from the store up to `next`; all there are, if the read
    /// `is_complete`. False if the set of domains stays as it was.
    pub fn apply(
        &mut self,
        changes: &[EvacuationChange],
        next: Position,
        is_complete: bool,
        now: Instant,
    ) -> bool {
        let former = self.current.position;
        if next.is_before(former) {
            return false;
        }
        let mut names = match is_complete && !next.era.follows(former.era) {
            true => BTreeSet::new(),
            // A store that was restored from a copy may lack records that it had acknowledged.
            false => self.current.names.clone(),
        };
        for it in changes {
            match it.is_evacuated {
                true => names.insert(it.domain.clone()),
                false => names.remove(&it.domain),
            };
        }
        let era = next.era.or(former.era);
        self.replace(EvacuatedDomains { names, position: Position { era, ..next } }, now)
    }

    /// Takes in what another router tells; nothing if it knows of no evacuated domain.
    pub fn merge(&mut self, told: Option<EvacuatedDomains>, now: Instant) -> EvacuationMerge {
        let Some(told) = told else {
            return match self.current.names.is_empty() {
                true => EvacuationMerge::Known,
                false => EvacuationMerge::Outdated,
            };
        };
        let own = self.current.position;
        if own == told.position {
            return EvacuationMerge::Known;
        }
        if own != Position::default() && !own.is_before(told.position) {
            return EvacuationMerge::Outdated;
        }
        self.replace(told, now);
        EvacuationMerge::TakenIn
    }

    /// What other routers are told: all, while a domain is evacuated or one was until lately.
    pub fn told(&self, now: Instant) -> Option<&EvacuatedDomains> {
        let is_told =
            !self.current.names.is_empty() || self.changed.is_some_and(|it| is_news(it, now));
        is_told.then_some(&self.current)
    }

    fn replace(&mut self, new: EvacuatedDomains, now: Instant) -> bool {
        let has_changed = new.names != self.current.names;
        if has_changed {
            self.changed = Some(now);
        }
        self.current = new;
        has_changed
    }
}

impl From<&EvacuatedDomains> for WireEvacuations {
    fn from(it: &EvacuatedDomains) -> WireEvacuations {
        WireEvacuations {
            domains: it.names.iter().cloned().collect(),
            position: it.position.into(),
        }
    }
}

impl From<WireEvacuations> for EvacuatedDomains {
    fn from(it: WireEvacuations) -> EvacuatedDomains {
        EvacuatedDomains { names: it.domains.into_iter().collect(), position: it.position.into() }
    }
}
