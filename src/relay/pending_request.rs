//! A request in progress.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::http::request::Parts;
use smallvec::SmallVec;

use crate::fleet::RunningSuspect;
use crate::relay::RequestMeta;
use crate::relay::part_trial::PartTrial;
use crate::relay::request_trace::RequestTrace;
use crate::rules::{Organisation, Route};
use crate::servers::Server;

/// What the rules grant to a request.
#[derive(Debug)]
pub(crate) struct Grant {
    /// Route that matches it.
    pub route: Arc<Route>,
    /// The caller's organisation, where it is known.
    pub organisation: Option<Arc<Organisation>>,
}

impl Grant {
    /// Rank of the request, 0 is the most urgent. The rank of an organisation overrides
    /// that of the route.
    pub fn rank(&self) -> u8 {
        let own = self.organisation.as_ref().and_then(|it| it.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// A request that waits for its answer.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub head: Parts,
    pub meta: RequestMeta,
    pub body: Bytes,
    /// The deadline of the caller or the timeout of the route, whichever is earlier.
    pub deadline: Instant,
    /// Id of the event after which the stream resumes.
    pub last_event: Option<String>,
    /// Key of the software version that began the stream, once an event was relayed: what two
    /// versions write does not fit together.
    pub software: Option<u64>,
    /// Hashes of the servers that get no further attempt.
    pub excluded: SmallVec<[u64; 4]>,
    /// Held while it is the only run of this request, which may crash servers.
    pub isolated_run: Option<RunningSuspect>,
    /// Held while it is the only run with a part of its prompt that is under suspicion.
    pub part_trial: Option<PartTrial>,
    /// How often it was sent.
    pub sends: u32,
    /// How many servers were selected for it, the current one included.
    pub selections: usize,
    /// When it took a slot at the current server; absent if none was free.
    pub slot_since: Option<Instant>,
    /// The decisions on it, for its log line.
    pub trace: RequestTrace,
}

/// A request that is allowed and fully read.
pub(crate) struct Admitted {
    pub head: Parts,
    pub meta: RequestMeta,
    pub body: Bytes,
    pub deadline: Instant,
}

impl Admitted {
    /// Starts the request, with the trace of its decisions.
    pub fn with_trace(self, trace: RequestTrace) -> Box<PendingRequest> {
        Box::new(PendingRequest {
            head: self.head,
            last_event: self.meta.last_event.clone(),
            meta: self.meta,
            body: self.body,
            deadline: self.deadline,
            software: None,
            excluded: SmallVec::new(),
            isolated_run: None,
            part_trial: None,
            sends: 0,
            selections: 0,
            slot_since: None,
            trace,
        })
    }
}

impl PendingRequest {
    /// How often its stream resumed at another server.
    pub fn resumes(&self) -> u32 {
        self.trace.resumed
    }

    /// Prepares the request to resume, after the event `last`, a stream that broke at `server`.
    pub fn prepare_resume(&mut self, server: &Server, last: Option<&str>) {
        self.excluded.push(server.hash);
        self.selections = 0;
        self.last_event = last.map(str::to_owned);
        self.trace.resumed += 1;
    }
}
