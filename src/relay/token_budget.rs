//! The tokens that requests take at backend servers: where a prompt is read in time, and where its
//! memory fits.
//!
//! Only services whose servers are engines have budgets, and only requests that state their tokens
//! count.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::decide::{Candidate, LoadBound, ReadingRate, RequestTokens, TokenPlace, TokenQuery};
use crate::relay::attempt::Attempt;
use crate::relay::pending_request::{Grant, PendingRequest};
use crate::relay::{Refusal, Relay};
use crate::servers::Server;

/// The token budget of a request at the servers of its service.
pub(crate) struct TokenBudget {
    request: RequestTokens,
    query: TokenQuery,
    /// Tokens that a server reads in a second at its usual pace, where this is known.
    rate: Option<f64>,
    /// Another server that holds the prefix can hand it over.
    is_handed_over: bool,
    now: Instant,
}

impl TokenBudget {
    /// What the request would find at `server`.
    pub fn place(&self, server: &Server) -> TokenPlace {
        let rate = self.rate.map(|it| it / server.pace.factor());
        let mut place = server.tokens.place(&self.request, rate, self.now);
        if self.is_handed_over {
            place.unread = place.unread.min(self.request.unread - self.request.shared());
        }
        place
    }

    /// Chooses a server for the request, which would go to the candidate `first` otherwise.
    pub fn choose(
        &self,
        candidates: &[Candidate],
        servers: &[Arc<Server>],
        first: usize,
        bound: &LoadBound,
    ) -> Option<usize> {
        self.query.choose(candidates, first, bound, |at| self.place(&servers[at]))
    }
}

impl Relay {
    /// The token budget of a request; `None` where servers have none, or the request states no
    /// tokens.
    ///
    /// # Errors
    /// Fails when the prompt exceeds the memory of every server.
    pub(crate) fn token_budget(
        &self,
        pending: &PendingRequest,
        grant: &Grant,
        min_objective: Duration,
        now: Instant,
    ) -> Result<Option<TokenBudget>, Refusal> {
        if !self.limits().token_budgets {
            return Ok(None);
        }
        let service = &pending.trace.service;
        let Some((memory, (prompt, _))) = self.token_memory(service).zip(pending.meta.tokens)
        else {
            return Ok(None);
        };
        if u64::from(prompt) > memory {
            return Err(Refusal::ExceedsMemory);
        }
        let key = pending.meta.prefix_key();
        Ok(Some(TokenBudget {
            request: pending.meta.request_tokens(),
            query: TokenQuery {
                key: key.unwrap_or_else(|| pending.id_hash()),
                objective: grant.route.objective,
                min_objective,
                memory,
            },
            rate: self.reading_rates.with(service, ReadingRate::default, |it| it.rate()),
            is_handed_over: key.is_some_and(|key| self.prefix_holders.has_any(key, now)),
            now,
        }))
    }

    /// Whether the servers of any service have token budgets.
    pub(crate) fn has_token_budgets(&self) -> bool {
        let has_engines =
            || self.rules.load().is_some_and(|it| it.engine_services().next().is_some());
        self.limits().token_budgets && has_engines()
    }

    /// Names of the services whose servers have token budgets.
    pub(crate) fn engine_services(&self) -> Vec<String> {
        let rules = self.rules.load();
        rules.iter().flat_map(|it| it.engine_services()).map(str::to_owned).collect()
    }

    /// Tokens of memory of each server of `service`, if its servers are engines.
    fn token_memory(&self, service: &str) -> Option<u64> {
        let rules = self.rules.load()?;
        Some(rules.service(service)?.engine.as_ref()?.tokens)
    }

    /// Records how long it took until the answer to a request began, by what the server had to
    /// read before. A request that waited for a slot, or whose prefix may or may not be cached,
    /// tells nothing.
    pub(crate) fn record_reading(&self, pending: &PendingRequest, attempt: &Attempt, now: Instant) {
        if let Some(unread) = attempt.unread.filter(|_| pending.slot_since.is_some()) {
            let time = now.saturating_duration_since(attempt.began);
            self.reading_rates.with(&pending.trace.service, ReadingRate::default, |it| {
                it.record(unread, time);
            });
        }
    }
}
