//! What routers keep in the platform's store of streams that callers may take up.

use crate::wire::WireStreamOrigin;

wire! {
    /// A record, as the store keeps it.
    pub enum WireStreamRecord {
        /// Streams may begin at servers with a software version, at all routers or at one.
        Software(WireRegisteredSoftware),
        /// A router began streams.
        Streams(WireStartedStreams),
    }

    /// A software version of a service.
    pub struct WireRegisteredSoftware {
        /// Name of the service.
        pub service: String,
        /// Key of the version.
        pub software: u64,
        /// The process that registered it for itself; absent if it did so for all routers.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub process: Option<WireProcess>,
        /// The state of the store in which it was written; absent if the store names none.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub era: Option<u64>,
        /// When it was noticed that this state follows a restoration from a copy, in milliseconds
        /// since 1970; absent if it is not known to.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub restored_ms: Option<u64>,
    }

    /// A process of a router: hash of the router's name, and when it started in milliseconds
    /// since 1970.
    pub struct WireProcess(pub u64, pub u64);

    /// Streams that began at one router.
    pub struct WireStartedStreams {
        /// The process at which they began.
        pub process: WireProcess,
        /// When it wrote this, in milliseconds since 1970.
        pub at_ms: u64,
        /// The streams, and how long their callers wait as of the writing.
        pub streams: Vec<WireStreamOrigin>,
    }
}
