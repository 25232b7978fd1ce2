//! A ticket: a numbered change that carries the complete new state of each object.

use std::collections::BTreeSet;

use crate::state::{Kind, Object, Spec, TicketError};

/// Limit of objects that one ticket may change.
const MAX_OBJECTS: usize = 1_000;
/// Number of hexadecimal digits of a fingerprint.
const FINGERPRINT_DIGITS: usize = 16;

plain! {
    /// A checked ticket.
    pub struct Ticket {
        /// Number given by the operator; above 0.
        pub number: u64,
        /// Who wrote it.
        pub author: String,
        /// Why it was written.
        pub note: String,
        /// Objects that change. Invariant: not empty, no object twice.
        pub objects: Vec<Object>,
        /// Hash of the complete content; equal for equal tickets.
        pub digest: u64,
    }
}

impl Ticket {
    /// Checks the rules that do not depend on the state in force.
    ///
    /// # Errors
    /// Returns the first fault found.
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
            let object = format!("{} `{}`", it.kind, it.name);
            if it.name.is_empty() {
                return Err(TicketError::EmptyName { kind: it.kind });
            }
            check_name(it).map_err(|fault| TicketError::Value { object: object.clone(), fault })?;
            if !seen.insert((it.kind, &it.name)) {
                return Err(TicketError::Duplicate { object });
            }
            if let Some(spec) = &it.spec {
                check_spec(spec).map_err(|fault| TicketError::Value { object, fault })?;
            }
        }
        Ok(())
    }
}

/// Checks the name of a suspect, which must be a fingerprint. Other names are free.
fn check_name(object: &Object) -> Result<(), &'static str> {
    let is_digit = |it: &u8| matches!(it, b'0'..=b'9' | b'a'..=b'f');
    let name = object.name.as_bytes();
    match object.kind {
        Kind::Suspect if name.len() != FINGERPRINT_DIGITS || !name.iter().all(is_digit) => {
            Err("`name` must be a fingerprint of 16 hexadecimal digits")
        }
        _ => Ok(()),
    }
}

/// Checks the values of one object.
fn check_spec(spec: &Spec) -> Result<(), &'static str> {
    let ok = |is_valid: bool, fault| if is_valid { Ok(()) } else { Err(fault) };
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

/// Checks how a model or adapter orders engines to load it.
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
