//! Settings of the placement of requests.

use serde::Deserialize;

plain! {
    /// Placement of requests on backend servers.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Routing {
        /// Number of chats whose backend server is remembered, about 40 bytes each.
        pub chats: usize,
    }
}

impl Default for Routing {
    fn default() -> Routing {
        Routing { chats: 65_536 }
    }
}
