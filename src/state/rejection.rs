//! Why a ticket did not come into force.

use std::fmt;

use crate::state::Kind;

wire! {
    /// Why a ticket was rejected, with the value it conflicts with.
    #[serde(rename_all = "snake_case", tag = "reason")]
    pub enum Rejection {
        /// The record is not a valid ticket.
        Invalid {
            /// What is wrong.
            fault: String,
        },
        /// The number is already used by a ticket with other content.
        NumberUsed {
            /// Offset of the ticket that has the number.
            offset: u64,
        },
        /// The number is so low that it is no longer known whether it was used.
        Forgotten {
            /// Highest number that is no longer tracked.
            floor: u64,
        },
        /// An object was already set by a ticket with this or a higher number.
        Outdated {
            /// Kind of the object.
            kind: Kind,
            /// Name of the object.
            name: String,
            /// The number in force.
            number: u64,
        },
    }
}

impl fmt::Display for Rejection {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Rejection::Invalid { fault } => write!(f, "not a valid ticket: {fault}"),
            Rejection::NumberUsed { offset } => {
                write!(f, "the number is already used by another ticket, at offset {offset}")
            }
            Rejection::Forgotten { floor } => {
                write!(f, "numbers up to {floor} are no longer tracked; use a higher one")
            }
            Rejection::Outdated { kind, name, number } => {
                write!(f, "{kind} `{name}` was already set by ticket {number}")
            }
        }
    }
}
