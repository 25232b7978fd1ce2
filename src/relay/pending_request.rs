//! A request in progress.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use hyper::http::request::Parts;
use smallvec::SmallVec;

use crate::decide::{Lane, RequestTokens, hash_bytes};
use crate::fleet::RunningSuspect;
use crate::intake::Client;
use crate::relay::part_trial::PartTrial;
use crate::relay::request_trace::RequestTrace;
use crate::relay::{RequestMeta, StreamOrigin};
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
    /// Who sent it.
    pub client: Arc<Client>,
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
    /// Whether that version is recorded for later attempts of the caller.
    pub is_origin_recorded: bool,
    /// Hashes of the servers that get no further attempt.
    pub excluded: SmallVec<[u64; 4]>,
    /// Held while it is the only run of this request, which may crash servers.
    pub isolated_run: Option<RunningSuspect>,
    /// Held while it is the only run with a part of its prompt that is under suspicion.
    pub part_trial: Option<PartTrial>,
    /// How often it was sent, by the router that sent it on too.
    pub sends: u32,
    /// How many servers were selected for it, the current one included.
    pub selections: usize,
    /// Its place among others where servers are short of room.
    pub lane: Lane,
    /// When it took a slot at the current server; absent if none was free.
    pub slot_since: Option<Instant>,
    /// The pace of the current server when it was selected.
    pub slot_pace: f64,
    /// The decisions on it, for its log line.
    pub trace: RequestTrace,
}

/// A request that is allowed and fully read.
pub(crate) struct Admitted {
    pub client: Arc<Client>,
    pub head: Parts,
    pub meta: RequestMeta,
    pub body: Bytes,
    pub deadline: Instant,
}

impl Admitted {
    /// Starts the request, with the trace of its decisions.
    pub fn with_trace(self, trace: RequestTrace) -> Box<PendingRequest> {
        let forwarding = &trace.forwarding;
        Box::new(PendingRequest {
            client: self.client,
            head: self.head,
            last_event: self.meta.last_event.clone(),
            meta: self.meta,
            body: self.body,
            deadline: self.deadline,
            software: forwarding.as_ref().and_then(|it| it.software),
            is_origin_recorded: false,
            excluded: SmallVec::new(),
            isolated_run: None,
            part_trial: None,
            sends: forwarding.as_ref().map_or(0, |it| it.sends),
            selections: 0,
            lane: Lane::default(),
            slot_since: None,
            slot_pace: 1.0,
            trace,
        })
    }
}

impl PendingRequest {
    /// How often its stream resumed at another server.
    pub fn resumes(&self) -> u32 {
        self.trace.resumed
    }

    /// Another router sent it on, so this one does not.
    pub fn is_forwarded(&self) -> bool {
        self.trace.forwarding.is_some()
    }

    /// Hash of its id.
    pub fn id_hash(&self) -> u64 {
        hash_bytes(self.meta.id.as_bytes())
    }

    /// Service that `grant` selects for it.
    pub fn target_service<'a>(&self, grant: &'a Grant) -> Option<&'a str> {
        grant.route.target(self.meta.prefix_key().unwrap_or_else(|| self.id_hash()))
    }

    /// Tokens that it takes at the selected server; none where servers have no budget.
    pub fn tokens(&self) -> RequestTokens {
        let place = self.trace.place;
        place.map_or_else(RequestTokens::default, |it| RequestTokens {
            unread: it.unread,
            ..self.meta.request_tokens()
        })
    }

    /// Tokens of prompts that the selected server has to read until its answer; absent if its
    /// prefix may or may not be cached.
    pub fn known_unread(&self) -> Option<u64> {
        let place = self.trace.place.filter(|it| it.is_cached);
        place.map(|it| it.ahead + it.unread)
    }

    /// Hash of the id of the caller's attempt that brought the first event of its stream: this
    /// one, unless it takes a stream up.
    pub fn stream_hash(&self) -> u64 {
        let resumed = self.meta.resumes.as_ref().filter(|_| self.meta.last_event.is_some());
        resumed.map_or_else(|| self.id_hash(), |it| hash_bytes(it.as_bytes()))
    }

    /// The record that the version with the key `software` began its stream.
    pub fn origin(&self, software: u64) -> StreamOrigin {
        let time = self.meta.deadline.map(|it| it.min(StreamOrigin::MAX_TIME));
        let deadline = time.map_or(self.deadline, |it| self.trace.received() + it);
        StreamOrigin { stream: self.stream_hash(), software, deadline: deadline.max(self.deadline) }
    }

    /// Sets the software version that began the stream, and how it is known.
    pub fn set_origin(&mut self, software: u64, source: &'static str) {
        self.software = Some(software);
        self.trace.origin = Some(source);
    }

    /// Prepares the request to resume, after the event `last`, a stream that broke at `server`; `None`
    /// if another router sent it there.
    pub fn prepare_resume(&mut self, server: Option<&Server>, last: Option<&str>) {
        self.excluded.extend(server.map(|it| it.hash));
        self.selections = 0;
        self.last_event = last.map(str::to_owned);
    }
}
