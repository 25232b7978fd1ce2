//! Orders to engines, and the claims that routers append to the log before sending them.

use crate::wire::ModelRef;

wire! {
    /// What an engine must do.
    #[serde(rename_all = "snake_case", tag = "kind")]
    pub enum WireOrder {
        /// Load this; no effect when it is already loaded.
        Load(ModelRef),
        /// Unload this.
        Unload(ModelRef),
    }

    /// An order with its fencing number.
    pub struct OrderRequest {
        /// Engines that check it reject orders with a number lower than the highest received.
        pub fencing: u64,
        /// The order.
        pub order: WireOrder,
    }

    /// A record of the stream of order claims.
    #[serde(rename_all = "snake_case")]
    pub enum OrderRecord {
        /// A router is about to send one order to an engine.
        Claim {
            /// Unique id of the claim.
            id: u64,
            /// Name of the router.
            by: String,
            /// Name of the engine.
            engine: String,
            /// Whether the order unloads; otherwise it loads.
            #[serde(default)]
            unload: bool,
            /// Name by which requests ask for what is loaded or unloaded.
            what: String,
        },
        /// The claim with this id has ended.
        Done(u64),
    }
}

impl ModelRef {
    /// Name by which requests ask for exactly this model or adapter, with its version.
    pub fn full_name(&self) -> String {
        let name = if self.adapter.is_empty() { &self.model } else { &self.adapter };
        if self.version.is_empty() { name.clone() } else { format!("{name}@{}", self.version) }
    }
}
