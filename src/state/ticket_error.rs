//! Why a record is not a valid ticket.

use std::fmt;

use crate::state::Kind;

plain! {
    /// Fault of a ticket that does not depend on the state in force.
    ///
    /// The digest of an invalid record is the hash of this error's text, and routers
    /// compare such digests: a changed text makes versions of the program disagree.
    pub enum TicketError {
        /// Not JSON, or a key or type is wrong.
        Malformed {
            /// Path within the ticket.
            path: String,
            /// What was found and what is allowed.
            fault: String,
        },
        /// A format version that this program does not support.
        Version {
            /// The version found.
            found: u32,
            /// The version supported.
            known: u32,
        },
        /// The number is 0.
        ZeroNumber,
        /// The list of objects is empty.
        Empty,
        /// Too many objects.
        TooLarge {
            /// Number of objects.
            found: usize,
            /// Number allowed.
            max: usize,
        },
        /// The name of an object is empty.
        EmptyName {
            /// Its kind.
            kind: Kind,
        },
        /// Two objects with the same kind and name.
        Duplicate {
            /// Kind and name.
            object: String,
        },
        /// A value out of range.
        Value {
            /// Kind and name.
            object: String,
            /// What is wrong.
            fault: &'static str,
        },
    }
}

impl fmt::Display for TicketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TicketError::Malformed { path, fault } => write!(f, "at `{path}`: {fault}"),
            TicketError::Version { found, known } => {
                write!(f, "`version` is {found}; this program knows {known}")
            }
            TicketError::ZeroNumber => f.write_str("`number` must be above 0"),
            TicketError::Empty => f.write_str("`objects` must name at least one object"),
            TicketError::TooLarge { found, max } => {
                write!(f, "`objects` has {found} entries; {max} are allowed")
            }
            TicketError::EmptyName { kind } => write!(f, "a {kind} has an empty `name`"),
            TicketError::Duplicate { object } => write!(f, "{object} is named twice"),
            TicketError::Value { object, fault } => write!(f, "{object}: {fault}"),
        }
    }
}

impl std::error::Error for TicketError {}
