//! Limits on what a process holds for its clients.

key! {
    /// A listening socket.
    pub enum Listener {
        /// Requests of callers.
        Callers,
        /// Readiness requests of the platform.
        Ready,
        /// Callers that ask for router addresses.
        Entry,
        /// Other routers.
        Peers,
        /// Metrics.
        Metrics,
    }
}

plain! {
    /// Limits on what a process holds for its clients; without limits by default.
    #[derive(Copy)]
    pub struct IntakeLimits {
        /// Bytes for callers' requests and answers.
        pub callers_bytes: usize,
        /// Bytes for all other requests, so that they are answered when the former are spent.
        pub control_bytes: usize,
        /// Sockets of the process; some are left for those that it opens itself.
        pub sockets: usize,
    }
}

/// Memory of the process itself.
const PROCESS_BYTES: usize = 16 * 1024 * 1024;
/// Parts of a whole in which the limits are set.
const PARTS: usize = 32;
/// Parts of the other memory for callers. The rest is for what servers send and what the allocator
/// can't use.
const CALLERS_PARTS: usize = 16;
/// Parts of it for all other clients.
const CONTROL_PARTS: usize = 4;
/// Connections that each socket may have, however few the process may have.
const MIN_CONNECTIONS: usize = 8;

impl IntakeLimits {
    /// The limits on a machine with `memory` bytes where a process may have `sockets`.
    pub fn of_machine(memory: usize, sockets: usize) -> IntakeLimits {
        let memory = memory.saturating_sub(PROCESS_BYTES);
        IntakeLimits {
            callers_bytes: memory / PARTS * CALLERS_PARTS,
            control_bytes: memory / PARTS * CONTROL_PARTS,
            sockets,
        }
    }

    /// Connections that `listener` may have.
    pub fn connections(&self, listener: Listener) -> usize {
        let parts = match listener {
            Listener::Callers => 16,
            // While a router reaches no server, the others get its requests here.
            Listener::Peers => 4,
            Listener::Entry => 2,
            Listener::Ready | Listener::Metrics => 1,
        };
        (self.sockets / PARTS).saturating_mul(parts).max(MIN_CONNECTIONS)
    }
}

impl Default for IntakeLimits {
    fn default() -> IntakeLimits {
        let most = usize::MAX;
        IntakeLimits { callers_bytes: most, control_bytes: most, sockets: most }
    }
}
