//! Roles that the table of capacity tells apart.

use std::fmt;

key! {
    /// Who carries a figure.
    pub enum Role {
        /// Control thread of a router.
        Control,
        /// Traffic threads of a router.
        Traffic,
        /// Control bytes of a router, both ways.
        Bytes,
        /// Streams of the platform's log service.
        Log,
        /// An operator who reads the complete fleet.
        Operator,
    }
}

impl fmt::Display for Role {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Role::Control => "control thread",
            Role::Traffic => "traffic threads",
            Role::Bytes => "control bytes",
            Role::Log => "log streams",
            Role::Operator => "operator",
        })
    }
}
