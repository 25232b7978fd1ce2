//! Orders to engines, and the claims that routers append before them.

use crate::wire::Loaded;

wire! {
    /// What an engine is told to do.
    #[serde(rename_all = "snake_case", tag = "kind")]
    pub enum WireOrder {
        /// Load this; nothing happens when it is loaded.
        Load(Loaded),
        /// Unload this.
        Unload(Loaded),
    }

    /// An order with the number that engines check.
    pub struct OrderRequest {
        /// An engine that checks refuses any lower than the highest seen.
        pub fencing: u64,
        /// What to do.
        pub order: WireOrder,
    }

    /// A record of the stream of claims.
    #[serde(rename_all = "snake_case")]
    pub enum OrderRecord {
        /// A router is about to give an engine one order.
        Claim {
            /// Names the claim.
            id: u64,
            /// The router.
            by: String,
            /// The engine.
            engine: String,
            /// Whether it is to unload.
            #[serde(default)]
            unload: bool,
            /// Name by which requests ask for what is loaded or unloaded.
            what: String,
        },
        /// The claim with this name is over.
        Done(u64),
    }
}

impl Loaded {
    /// Name by which requests ask for exactly this.
    pub fn full_name(&self) -> String {
        let name = if self.adapter.is_empty() { &self.model } else { &self.adapter };
        if self.version.is_empty() { name.clone() } else { format!("{name}@{}", self.version) }
    }
}
