//! Questions to other routers and the store about which software version began a stream.

use tokio::sync::oneshot;

use crate::servers::ServiceSoftware;
use crate::wire::{WireOriginReply, WireServiceSoftware};

/// Questions that may wait; beyond it, a stream counts as unknown.
pub(crate) const MAX_WAITING_QUERIES: usize = 256;

/// A question about a stream that this router does not know.
#[derive(Debug)]
pub struct OriginQuery {
    /// Hash of the id of the attempt that brought the first event.
    pub stream: u64,
    /// Name of the service.
    pub service: String,
    /// Takes what is found.
    pub found: oneshot::Sender<FoundOrigin>,
}

key! {
    /// What another router knows of a stream.
    pub struct OriginReply {
        /// Key of the software version that began it, if it knows that.
        pub software: Option<u64>,
        /// The versions of the service, as far as it knows.
        pub service: ServiceSoftware,
        /// When its process started, in milliseconds since 1970, if it says so.
        pub born: Option<u64>,
    }
}

impl From<OriginReply> for WireOriginReply {
    fn from(it: OriginReply) -> WireOriginReply {
        let service = match it.service {
            ServiceSoftware::None => WireServiceSoftware::None,
            ServiceSoftware::One(software) => WireServiceSoftware::One(software),
            ServiceSoftware::Several => WireServiceSoftware::Several,
        };
        WireOriginReply { software: it.software, service, born: it.born }
    }
}

impl From<WireOriginReply> for OriginReply {
    fn from(it: WireOriginReply) -> OriginReply {
        let service = match it.service {
            WireServiceSoftware::None => ServiceSoftware::None,
            WireServiceSoftware::One(software) => ServiceSoftware::One(software),
            WireServiceSoftware::Several => ServiceSoftware::Several,
        };
        OriginReply { software: it.software, service, born: it.born }
    }
}

key! {
    /// What the other routers and the store know of a stream.
    #[derive(Default)]
    pub enum FoundOrigin {
        /// The version with this key began it, as a router or the store knows.
        Known(u64),
        /// No other version than the one with this key can have begun it.
        Only(u64),
        /// Several versions may have begun it, or which may have is not known.
        #[default]
        Unknown,
    }
}
