//! The roles in the capacity table.

use std::fmt;

key! {
    /// The part of the system that a figure belongs to.
    pub enum Role {
        /// Control thread of a router.
        Control,
        /// Traffic threads of a router.
        Traffic,
        /// Control traffic of a router, both directions.
        Bytes,
        /// Streams of the platform's log service.
        Log,
        /// An operator who reads the state of all routers.
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
