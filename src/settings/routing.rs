//! How requests are placed.

use serde::Deserialize;

plain! {
    /// How requests are placed.
    #[derive(Deserialize)]
    #[serde(default, deny_unknown_fields)]
    pub struct Routing {
        /// Chats whose place is remembered, about 40 bytes each.
        pub chats: usize,
    }
}

impl Default for Routing {
    fn default() -> Routing {
        Routing { chats: 65_536 }
    }
}
