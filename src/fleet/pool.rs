//! Backend servers by pool.

use std::net::SocketAddr;

use crate::admission::PoolFigures;
use crate::decide::Engine;
use crate::fleet::ModelKeys;

plain! {
    /// A backend server as traffic reaches it.
    pub struct BackendServer {
        /// Its name.
        pub name: String,
        /// Where it answers.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: String,
    }
}

/// Backend servers of one pool.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    /// What placement needs. Invariant: same order and length as `servers`.
    pub engines: Vec<Engine>,
    /// What each engine holds; `None` when that is not known. Invariant: same
    /// order and length as `servers`.
    pub loaded: Vec<Option<ModelKeys>>,
    /// What the connection needs.
    pub servers: Vec<BackendServer>,
    /// Sums over the engines' reports, leaving ones left out.
    pub figures: PoolFigures,
}
