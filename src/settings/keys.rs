//! Secret keys of the fleet.

use serde::Deserialize;

plain! {
    /// One secret key of the fleet.
    #[derive(Deserialize)]
    #[serde(deny_unknown_fields)]
    pub struct FleetKey {
        /// Name, shown to people.
        pub id: String,
        /// The secret, at least 16 characters.
        pub secret: String,
    }
}
