//! Questions to other routers about which software version began a stream.

use smallvec::SmallVec;
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
    /// Takes the replies.
    pub replies: oneshot::Sender<OriginReplies>,
}

key! {
    /// What another router knows of a stream.
    pub struct OriginReply {
        /// Key of the software version that began it, if it knows that.
        pub software: Option<u64>,
        /// The versions of the service, as far as it knows.
        pub service: ServiceSoftware,
    }
}

impl From<OriginReply> for WireOriginReply {
    fn from(it: OriginReply) -> WireOriginReply {
        let service = match it.service {
            ServiceSoftware::None => WireServiceSoftware::None,
            ServiceSoftware::One(software) => WireServiceSoftware::One(software),
            ServiceSoftware::Several => WireServiceSoftware::Several,
        };
        WireOriginReply { software: it.software, service }
    }
}

impl From<WireOriginReply> for OriginReply {
    fn from(it: WireOriginReply) -> OriginReply {
        let service = match it.service {
            WireServiceSoftware::None => ServiceSoftware::None,
            WireServiceSoftware::One(software) => ServiceSoftware::One(software),
            WireServiceSoftware::Several => ServiceSoftware::Several,
        };
        OriginReply { software: it.software, service }
    }
}

plain! {
    /// The replies to a question.
    pub struct OriginReplies {
        /// Other routers exist, as far as known.
        pub has_others: bool,
        /// The replies of those that were reached.
        pub replies: SmallVec<[OriginReply; 4]>,
    }
}

impl OriginReplies {
    /// The result if no other router could be asked.
    pub fn unreached() -> OriginReplies {
        OriginReplies { has_others: true, replies: SmallVec::new() }
    }

    /// Key of the software version that began the stream, if a router knows it.
    pub fn software(&self) -> Option<u64> {
        self.replies.iter().find_map(|it| it.software)
    }

    /// Whether they confirm that the service has the versions `own` alone: some of the other
    /// routers say so and none knows others, or there is no other router.
    pub fn confirm(&self, own: ServiceSoftware) -> bool {
        let knows_others =
            |it: &OriginReply| !matches!(it.service, ServiceSoftware::None) && it.service != own;
        let is_confirmed = self.replies.iter().any(|it| it.service == own);
        !self.replies.iter().any(knows_others) && (is_confirmed || !self.has_others)
    }
}
