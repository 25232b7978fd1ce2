//! Backend servers by pool.

use std::net::SocketAddr;

use crate::admission::PoolLoad;
use crate::decide::Engine;
use crate::fleet::ModelKeys;

plain! {
    /// Where traffic finds a backend server.
    pub struct BackendServer {
        /// Its name.
        pub name: String,
        /// Address for requests.
        pub address: SocketAddr,
        /// Its failure domain.
        pub domain: String,
    }
}

/// Backend servers of one pool.
#[derive(Debug, Clone, Default)]
pub struct Pool {
    /// Data for placement. Invariant: same order and length as `servers`.
    pub engines: Vec<Engine>,
    /// What each engine has loaded; `None` when that is not known. Invariant: same
    /// order and length as `servers`.
    pub loaded: Vec<Option<ModelKeys>>,
    /// Data for connections.
    pub servers: Vec<BackendServer>,
    /// Sums over the reports of engines that are not leaving.
    pub load: PoolLoad,
}
