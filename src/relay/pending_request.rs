//! A request under way.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::http::request::Parts;
use smallvec::SmallVec;

use crate::fleet::RunningSuspect;
use crate::relay::RequestMeta;
use crate::relay::request_trace::RequestTrace;
use crate::rules::{Organisation, Route};
use crate::servers::Server;

/// How a request is allowed.
#[derive(Debug)]
pub(crate) struct Grant {
    /// Its route.
    pub route: Arc<Route>,
    /// Whose it is, where that is known.
    pub organisation: Option<Arc<Organisation>>,
}

impl Grant {
    /// Rank of the request, 0 first: an organisation's own goes before the route's.
    pub fn rank(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|it| it.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// A request under way.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub head: Parts,
    pub ask: RequestMeta,
    pub body: Bytes,
    /// When the caller or the route has waited long enough.
    pub deadline: Instant,
    /// Event after which the stream goes on.
    pub last_event: Option<String>,
    /// Servers that are not tried again.
    pub tried: SmallVec<[u64; 4]>,
    /// Held while it is the only run of a request that may crash servers.
    pub alone: Option<RunningSuspect>,
    /// Times that it was sent.
    pub sends: u32,
    /// Servers that were chosen, the one in use among them.
    pub connects: usize,
    /// When it was given to the server in use, if that had a free slot.
    pub entered: Option<Instant>,
    /// What was decided on it.
    pub trail: RequestTrace,
}

/// A request that is allowed and read whole.
pub(crate) struct Admitted {
    pub head: Parts,
    pub ask: RequestMeta,
    pub body: Bytes,
    pub deadline: Instant,
}

impl Admitted {
    /// The request with the trail of what is decided on it.
    pub fn with(self, trail: RequestTrace) -> Box<PendingRequest> {
        Box::new(PendingRequest {
            head: self.head,
            last_event: self.ask.last_event.clone(),
            ask: self.ask,
            body: self.body,
            deadline: self.deadline,
            tried: SmallVec::new(),
            alone: None,
            sends: 0,
            connects: 0,
            entered: None,
            trail,
        })
    }
}

impl PendingRequest {
    /// Times that its stream went on elsewhere.
    pub fn resumes(&self) -> u32 {
        self.trail.resumed
    }

    /// The stream broke off at `server` and goes on elsewhere, if it may.
    pub fn resume(&mut self, server: &Server, last: Option<&str>) {
        self.tried.push(server.hash);
        self.connects = 0;
        self.last_event = last.map(str::to_owned);
        self.trail.resumed += 1;
    }
}
