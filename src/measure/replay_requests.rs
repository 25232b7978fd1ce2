//! Requests of a replay: sending, placing, running and completing them.

use std::sync::Arc;

use smallvec::SmallVec;

use crate::decide::{ChatPlace, PlaceQuery, chat_key, combine};
use crate::measure::policy::PolicyInput;
use crate::measure::replay::{Event, InFlightRequest, Replay};
use crate::measure::{Job, Step, TraceRequest};

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 3;
/// One request in this many goes to another router than the chat's default router.
const OTHER_ROUTER_ONE_IN: u64 = 10;
/// One chat in this many has a caller that does not send hints back.
const NO_HINT_ONE_IN: u64 = 4;

/// A request and the engine that it is placed on.
struct Start<'a> {
    index: usize,
    request: &'a TraceRequest,
    chat: u64,
    router: usize,
    at: usize,
    cost: u64,
}

impl Replay<'_> {
    pub(super) fn begin_request(&mut self, index: usize, request: &TraceRequest) {
        self.figures.requests += 1;
        self.send(index, request);
    }

    /// Places a request on an engine; an engine that is down costs one attempt.
    pub(super) fn send(&mut self, index: usize, request: &TraceRequest) {
        let chat = chat_key(&request.organisation, &request.chat);
        let count = self.routers.len() as u64;
        let hash = combine(chat, index as u64);
        let router_hash =
            if hash.is_multiple_of(OTHER_ROUTER_ONE_IN) { hash >> 8 } else { combine(chat, 2) };
        let router = (router_hash % count) as usize;
        let mut attempted: SmallVec<[usize; MAX_ATTEMPTS]> = SmallVec::new();
        while attempted.len() < MAX_ATTEMPTS {
            let known = self.known_place(router, chat);
            let Some((at, spilled)) = self.choose(router, chat, request, known, &mut attempted)
            else {
                break;
            };
            if !self.engines[at].up {
                let id = self.engines[at].id;
                if let Some(sent) = self.routers[router].sent.get(&id) {
                    sent.mark_down();
                }
                continue;
            }
            self.figures.spilled += u64::from(spilled);
            let id = self.engines[at].id;
            let cached = known.filter(|it| it.engine == id);
            let cached_tokens = cached.map_or(0, |it| u64::from(it.tokens).min(request.prompt));
            let cost = request.prompt + request.max_answer - cached_tokens;
            self.start(Start { index, request, chat, router, at, cost });
            return;
        }
        self.figures.refused += 1;
    }

    /// The last placement of the chat as its caller or else the router knows it.
    fn known_place(&self, router: usize, chat: u64) -> Option<ChatPlace> {
        let hint = self.hints.get(&chat).filter(|_| !chat.is_multiple_of(NO_HINT_ONE_IN));
        hint.copied().or_else(|| self.routers[router].table.get(chat))
    }

    /// Index of the chosen engine, and whether the request was spilled to it.
    fn choose(
        &mut self,
        router: usize,
        chat: u64,
        request: &TraceRequest,
        known: Option<ChatPlace>,
        attempted: &mut SmallVec<[usize; MAX_ATTEMPTS]>,
    ) -> Option<(usize, bool)> {
        let cached_tokens = known.map_or(0, |it| u64::from(it.tokens).min(request.prompt));
        let cost = request.prompt + request.max_answer;
        let query = PlaceQuery {
            key: chat,
            hint: known.map(|it| (it.engine, it.incarnation)),
            cost,
            warm_cost: cost - cached_tokens,
            bound: self.trace.head.bound,
            attempted,
        };
        let router = &mut self.routers[router];
        let input = &mut PolicyInput {
            router,
            truth: &self.engines,
            now: self.now,
            query,
            prompt: request.prompt,
        };
        let choice = (self.policy.choose)(input)?;
        let at = match self.policy.all_knowing {
            true => choice.index,
            false => self.index[&input.router.engines[choice.index].id],
        };
        attempted.push(choice.index);
        Some((at, choice.spilled))
    }

    fn start(&mut self, start: Start<'_>) {
        let Start { index, request, chat, router, at, cost } = start;
        let it = &mut self.engines[at];
        self.figures.late += u64::from(it.leaving);
        let owner = &mut self.routers[router];
        let sent = Arc::clone(owner.sent.entry(it.id).or_default());
        sent.add(cost);
        let tokens = request.prompt as u32;
        let place = ChatPlace { engine: it.id, incarnation: it.incarnation, tokens };
        owner.table.set(chat, place);
        let (engine, incarnation, now) = (it.id, it.incarnation, self.now);
        self.in_flight
            .insert(index, InFlightRequest { router, engine, incarnation, sent, cost, at: now });
        it.enqueue(Job {
            request: index,
            chat,
            prompt: request.prompt,
            answer: request.answer,
            uncached: 0,
            start: now,
            end: now,
        });
        self.start_queued(at);
    }

    /// Starts queued requests while the engine has free slots.
    fn start_queued(&mut self, at: usize) {
        while let Some(job) = self.engines[at].start_next(self.now) {
            let incarnation = self.engines[at].incarnation;
            self.push(job.end, Event::Done { engine: at, incarnation, request: job.request });
            let before = self.history.get(&job.chat).copied().unwrap_or(0).min(job.prompt);
            self.figures.history += before;
            self.figures.cached += (job.prompt - job.uncached).min(before);
        }
    }

    pub(super) fn done(&mut self, at: usize, incarnation: u64, request: usize) {
        if self.engines[at].incarnation != incarnation {
            return;
        }
        let Some(job) = self.engines[at].finish(request) else {
            return;
        };
        let trace = self.trace;
        if let (Some(flight), Some(Step::Request(it))) =
            (self.remove_in_flight(request), trace.lines.get(request).map(|it| &it.step))
        {
            let tokens = (job.prompt + job.answer) as u32;
            let place =
                ChatPlace { engine: flight.engine, incarnation: flight.incarnation, tokens };
            self.routers[flight.router].table.set(job.chat, place);
            self.hints.insert(job.chat, place);
            self.history.insert(job.chat, job.prompt + job.answer);
            let engine = &self.engines[at];
            let alone = job.prompt as f64 / engine.read + job.answer as f64 / engine.write;
            let taken = (self.now - flight.at).as_secs_f64();
            let service = self.figures.service.entry(it.organisation.clone()).or_default();
            service.done += 1;
            service.slowdown += taken / alone;
            self.figures.done += 1;
        }
        self.start_queued(at);
    }

    /// Removes a request and its tokens from the counts of its router.
    pub(super) fn remove_in_flight(&mut self, request: usize) -> Option<InFlightRequest> {
        let flight = self.in_flight.remove(&request)?;
        flight.sent.remove(flight.cost);
        Some(flight)
    }
}
