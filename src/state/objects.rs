//! All objects in force; look-ups by kind and name do not copy the name.

use std::collections::BTreeMap;

use crate::state::{Kind, Spec};

plain! {
    /// One object in force.
    pub struct ObjectState {
        /// Number of the ticket that set its state. Invariant: never falls.
        pub number: u64,
        /// Its state; `None` when the ticket removed the object.
        pub spec: Option<Spec>,
    }

    /// Objects by kind, then name.
    #[derive(Default)]
    pub struct Objects {
        kinds: BTreeMap<Kind, BTreeMap<String, ObjectState>>,
    }
}

impl Objects {
    /// The object of `kind` called `name`, including a removed one.
    pub fn get(&self, kind: Kind, name: &str) -> Option<&ObjectState> {
        self.kinds.get(&kind)?.get(name)
    }

    /// Adds an object, or replaces the one of the same kind and name.
    pub fn insert(&mut self, kind: Kind, name: &str, state: ObjectState) {
        self.kinds.entry(kind).or_default().insert(name.to_owned(), state);
    }

    /// All objects of `kind` in the order of their names.
    pub fn of_kind(&self, kind: Kind) -> impl Iterator<Item = (&str, &ObjectState)> {
        self.kinds.get(&kind).into_iter().flatten().map(|(name, it)| (name.as_str(), it))
    }

    /// All objects in the order of their kinds and names.
    pub fn iter(&self) -> impl Iterator<Item = (Kind, &str, &ObjectState)> {
        self.kinds
            .iter()
            .flat_map(|(kind, names)| names.iter().map(|(name, it)| (*kind, name.as_str(), it)))
    }

    /// Whether there are no objects.
    pub fn is_empty(&self) -> bool {
        self.kinds.is_empty()
    }
}
