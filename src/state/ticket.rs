//! A ticket: a numbered change that carries the whole new state of each object.

use std::collections::BTreeSet;

use crate::state::{Kind, Object, Spec, TicketError};

/// Most objects that one ticket may change.
const MAX_OBJECTS: usize = 1_000;
/// Hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 16;

plain! {
    /// A checked ticket.
    pub struct Ticket {
        /// Number given by the operator; above 0.
        pub number: u64,
        /// Who made it.
        pub author: String,
        /// Why.
        pub note: String,
        /// What changes. Invariant: not empty, no object twice.
        pub objects: Vec<Object>,
        /// Hash of the whole content; equal for equal tickets.
        pub digest: u64,
    }
}

impl Ticket {
    /// Checks what holds for a ticket by itself, whatever is in force.
    ///
    /// # Errors
    /// Names the first fault found.
    pub fn check(&self) -> Result<(), TicketError> {
        if self.number == 0 {
            return Err(TicketError::ZeroNumber);
        }
        if self.objects.is_empty() {
            return Err(TicketError::Empty);
        }
        if self.objects.len() > MAX_OBJECTS {
            return Err(TicketError::TooLarge { found: self.objects.len(), max: MAX_OBJECTS });
        }
        let mut seen = BTreeSet::new();
        for it in &self.objects {
            let place = format!("{} `{}`", it.kind, it.name);
            if it.name.is_empty() {
                return Err(TicketError::EmptyName { kind: it.kind });
            }
            check_name(it).map_err(|fault| TicketError::Value { object: place.clone(), fault })?;
            if !seen.insert((it.kind, &it.name)) {
                return Err(TicketError::Duplicate { object: place });
            }
            if let Some(spec) = &it.spec {
                check_spec(spec).map_err(|fault| TicketError::Value { object: place, fault })?;
            }
        }
        Ok(())
    }
}

/// Checks a name that must have a form of its own.
fn check_name(object: &Object) -> Result<(), &'static str> {
    let digit = |it: &u8| matches!(it, b'0'..=b'9' | b'a'..=b'f');
    let name = object.name.as_bytes();
    match object.kind {
        Kind::Suspect if name.len() != FINGERPRINT_DIGITS || !name.iter().all(digit) => {
            Err("`name` must be a fingerprint of 16 hexadecimal digits")
        }
        _ => Ok(()),
    }
}

/// Checks the ranges of one object's values.
fn check_spec(spec: &Spec) -> Result<(), &'static str> {
    let ok = |good: bool, fault| if good { Ok(()) } else { Err(fault) };
    match spec {
        Spec::Model(it) => {
            ok(!it.pool.is_empty(), "`pool` must not be empty")?;
            check_copies(it.copies, &it.version, &it.versions)
        }
        Spec::Adapter(it) => {
            ok(!it.model.is_empty(), "`model` must not be empty")?;
            check_copies(it.copies, &it.version, &it.versions)
        }
        Spec::Service(it) => ok(!it.pool.is_empty(), "`pool` must not be empty"),
        Spec::Organisation(it) => {
            ok(it.weight > 0.0 && it.weight.is_finite(), "`weight` must be above 0")?;
            ok(it.rate.is_none_or(|rate| rate >= 0.0), "`rate` must not be negative")
        }
        Spec::Experiment(it) => {
            ok((0.0..=1.0).contains(&it.share), "`share` must be from 0 to 1")?;
            ok(!it.model.is_empty(), "`model` must not be empty")?;
            ok(!it.target.is_empty() || !it.policy.is_empty(), "`target` or `policy` must be given")
        }
        Spec::Suspect(_) => Ok(()),
        Spec::Policy(it) => ok(it.bound > 1.0 && it.bound.is_finite(), "`bound` must be above 1"),
    }
}

/// Checks what a model or adapter asks engines to hold.
fn check_copies(
    copies: Option<usize>,
    version: &str,
    versions: &[String],
) -> Result<(), &'static str> {
    if copies == Some(0) {
        return Err("`copies` must be above 0");
    }
    if copies.is_some() && version.is_empty() {
        return Err("`version` must be given with `copies`");
    }
    if copies.is_none() && !versions.is_empty() {
        return Err("`copies` must be given with `versions`");
    }
    if versions.iter().any(String::is_empty) {
        return Err("`versions` must not hold an empty name");
    }
    Ok(())
}
