//! Why a ticket did not come into force.

use std::fmt;

use crate::state::Kind;

wire! {
    /// The reason, with what it was compared to.
    #[serde(rename_all = "snake_case", tag = "reason")]
    pub enum Rejection {
        /// The record is not a valid ticket.
        Invalid {
            /// What is wrong.
            fault: String,
        },
        /// The number was used before with another content.
        NumberUsed {
            /// Offset of the ticket that has the number.
            offset: u64,
        },
        /// The number is so low that it is no longer known whether it was used.
        Forgotten {
            /// Highest number that is no longer remembered.
            floor: u64,
        },
        /// An object already obeys a ticket with this or a higher number.
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
                write!(f, "the number belongs to another ticket, at offset {offset}")
            }
            Rejection::Forgotten { floor } => {
                write!(f, "numbers up to {floor} are no longer remembered; use a higher one")
            }
            Rejection::Outdated { kind, name, number } => {
                write!(f, "{kind} `{name}` already obeys ticket {number}")
            }
        }
    }
}
