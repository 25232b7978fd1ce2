//! Tokens of the requests in flight at a backend server: those of their prompts that it has yet
//! to read, and those that hold memory there.
//!
//! Requests share the memory of the parts that their prompts have in common, so that the ledger
//! counts each part once, whichever routers sent the requests.

use std::sync::Mutex;
use std::time::{Duration, Instant};

use smallvec::SmallVec;

/// How long a server's statement that no request waits there is used; reports of the other
/// routers are about as old.
const IDLE_TIME: Duration = Duration::from_millis(700);
/// How long an unused part of prompts is likely to stay cached at a server.
const CACHE_TIME: Duration = Duration::from_secs(60);
/// Limit on the cached parts that are remembered; beyond it, the least recently used is dropped.
const MAX_CACHED: usize = 32;
/// Shared parts of one server that the other routers are told of. The others count as memory of
/// single requests.
const MAX_TOLD_PARTS: usize = 3;

plain! {
    /// A part of prompts in the memory of a server.
    #[derive(Copy)]
    pub struct SharedPart {
        /// Short hash of the part, all parts before it and the model.
        pub tag: u16,
        /// Its tokens.
        pub tokens: u64,
    }

    /// Tokens that one request takes at a server.
    #[derive(Default)]
    pub struct RequestTokens {
        /// Tokens of the prompt that the server has yet to read.
        pub unread: u64,
        /// Tokens of memory that the request alone holds until it ends.
        pub held: u64,
        /// Parts of its prompt that other requests may have too, in order.
        pub parts: SmallVec<[SharedPart; 3]>,
    }

    /// Tokens of the requests of one or several routers at a server.
    #[derive(Default)]
    pub struct ServerTokens {
        /// Tokens of prompts that the server has yet to read.
        pub unread: u64,
        /// Tokens of memory that single requests hold.
        pub held: u64,
        /// Parts that their prompts share. Invariant: no tag twice.
        pub parts: SmallVec<[SharedPart; 3]>,
    }

    /// What is known of the tokens at a server, for a request that may be sent there.
    #[derive(Copy, Default)]
    pub struct TokenPlace {
        /// Tokens of other prompts that it has yet to read.
        pub ahead: u64,
        /// Tokens of the request's own prompt that it would have to read.
        pub unread: u64,
        /// Tokens of memory that cannot yield.
        pub held: u64,
        /// Tokens of memory that the request would add.
        pub added: u64,
        /// Tokens that the server reads in a second, where this is known.
        pub rate: Option<f64>,
        /// All parts that the request may share are cached there, as far as is known.
        pub is_cached: bool,
        /// The server said lately that no request waits there, so that its memory is not short,
        /// whatever is estimated here.
        pub is_idle: bool,
        /// Age of what the other routers reported; absent without a report.
        pub age: Option<Duration>,
    }
}

impl RequestTokens {
    /// Tokens of memory that it takes at a server that shares nothing with it.
    pub fn memory(&self) -> u64 {
        self.held + self.shared()
    }

    /// Tokens of the parts that other requests may have too.
    pub fn shared(&self) -> u64 {
        self.parts.iter().map(|it| it.tokens).sum()
    }
}

impl ServerTokens {
    /// Adds a shared part. If it is present already, the longer one counts.
    pub fn add_part(&mut self, part: SharedPart) {
        match self.parts.iter_mut().find(|it| it.tag == part.tag) {
            Some(it) => it.tokens = it.tokens.max(part.tokens),
            None => self.parts.push(part),
        }
    }

    /// Adds the tokens of other requests.
    pub fn add(&mut self, other: &ServerTokens) {
        self.unread = self.unread.saturating_add(other.unread);
        self.held = self.held.saturating_add(other.held);
        other.parts.iter().for_each(|it| self.add_part(*it));
    }

    /// Multiplies what single requests take, where only part of the routers are known.
    pub fn scale(&mut self, factor: f64) {
        self.unread = (self.unread as f64 * factor) as u64;
        self.held = (self.held as f64 * factor) as u64;
    }
}

/// A part of the prompts of this router's requests.
#[derive(Debug)]
struct OwnPart {
    part: SharedPart,
    /// Requests in flight that have it; above 0.
    requests: u32,
}

/// A part of prompts that the server read.
#[derive(Debug)]
struct CachedPart {
    tag: u16,
    last_used: Instant,
}

#[derive(Debug, Default)]
struct LedgerState {
    /// Unread tokens of this router's requests.
    unread: u64,
    /// Tokens of memory that single requests of this router hold.
    held: u64,
    parts: SmallVec<[OwnPart; 3]>,
    /// Requests of the other routers, and when they were last reported.
    others: ServerTokens,
    reported: Option<Instant>,
    /// When the server last said that no request waits there.
    idle: Option<Instant>,
    cached: Vec<CachedPart>,
}

/// Tokens at one server, from this router's own requests, the reports of the other routers and
/// what the server says itself.
#[derive(Debug, Default)]
pub struct TokenLedger {
    state: Mutex<LedgerState>,
}

impl TokenLedger {
    /// Counts a request that is sent.
    pub fn begin(&self, request: &RequestTokens) {
        let mut state = self.state.lock().unwrap();
        state.unread += request.unread;
        state.held += request.held;
        for part in &request.parts {
            match state.parts.iter_mut().find(|it| it.part.tag == part.tag) {
                Some(it) => {
                    it.requests += 1;
                    it.part.tokens = it.part.tokens.max(part.tokens);
                }
                None => state.parts.push(OwnPart { part: *part, requests: 1 }),
            }
        }
    }

    /// Counts the prompt of a request as read, and its parts as cached.
    pub fn end_reading(&self, request: &RequestTokens, now: Instant) {
        let mut state = self.state.lock().unwrap();
        state.unread = state.unread.saturating_sub(request.unread);
        request.parts.iter().for_each(|it| state.record_cached(it.tag, now));
    }

    /// Counts a request as ended. What is unread of its prompt, `unread`, is given up.
    pub fn end(&self, request: &RequestTokens, unread: u64) {
        let mut state = self.state.lock().unwrap();
        state.unread = state.unread.saturating_sub(unread);
        state.held = state.held.saturating_sub(request.held);
        for part in &request.parts {
            if let Some(it) = state.parts.iter_mut().find(|it| it.part.tag == part.tag) {
                it.requests -= 1;
            }
        }
        state.parts.retain(|it| it.requests > 0);
    }

    /// Replaces what is known of the other routers' requests.
    pub fn set_others(&self, others: ServerTokens, now: Instant) {
        let mut state = self.state.lock().unwrap();
        others.parts.iter().for_each(|it| state.record_cached(it.tag, now));
        state.others = others;
        state.reported = Some(now);
    }

    /// Records how many requests wait at the server, as it says itself.
    pub fn record_waiting(&self, waiting: u32, now: Instant) {
        self.state.lock().unwrap().idle = (waiting == 0).then_some(now);
    }

    /// This router's own requests, for the other routers.
    pub fn own(&self) -> ServerTokens {
        let state = self.state.lock().unwrap();
        let mut parts: SmallVec<[&OwnPart; 8]> = state.parts.iter().collect();
        parts.sort_unstable_by_key(|it| std::cmp::Reverse((it.requests, it.part.tokens)));
        let told = parts.len().min(MAX_TOLD_PARTS);
        let untold: u64 = parts[told..].iter().map(|it| it.part.tokens).sum();
        ServerTokens {
            unread: state.unread,
            held: state.held + untold,
            parts: parts[..told].iter().map(|it| it.part).collect(),
        }
    }

    /// What `request`, of which nothing is read, would find here. Of the prompts that other routers
    /// reported, the server has read `rate` tokens a second since; without a known rate they count
    /// as read.
    pub fn place(&self, request: &RequestTokens, rate: Option<f64>, now: Instant) -> TokenPlace {
        let state = self.state.lock().unwrap();
        let age = state.reported.map(|at| now.saturating_duration_since(at));
        let read = rate.zip(age).map_or(u64::MAX, |(rate, age)| (rate * age.as_secs_f64()) as u64);
        let running: u64 =
            request.parts.iter().filter(|it| state.runs(it.tag)).map(|it| it.tokens).sum();
        let is_idle = state.idle.is_some_and(|at| now.saturating_duration_since(at) < IDLE_TIME);
        let cached = state.cached_tokens(&request.parts, now);
        TokenPlace {
            ahead: state.unread + state.others.unread.saturating_sub(read),
            unread: request.unread.saturating_sub(cached),
            held: state.held.saturating_add(state.others.held).saturating_add(state.shared()),
            added: request.memory() - running,
            rate,
            is_cached: cached == request.shared(),
            is_idle,
            age,
        }
    }
}

impl LedgerState {
    /// Whether a request in flight has the part `tag`.
    fn runs(&self, tag: u16) -> bool {
        self.parts.iter().any(|it| it.part.tag == tag)
            || self.others.parts.iter().any(|it| it.tag == tag)
    }

    /// Tokens of all parts that requests in flight have.
    fn shared(&self) -> u64 {
        let is_own = |tag: u16| self.parts.iter().any(|it| it.part.tag == tag);
        let others = self.others.parts.iter().filter(|it| !is_own(it.tag));
        let own = self.parts.iter().map(|it| it.part.tokens);
        own.chain(others.map(|it| it.tokens)).sum()
    }

    /// Tokens of the first of `parts` that are cached. A part is read again if one before it is.
    fn cached_tokens(&self, parts: &[SharedPart], now: Instant) -> u64 {
        let is_recent = |it: &CachedPart| now.saturating_duration_since(it.last_used) < CACHE_TIME;
        let is_cached = |tag: u16| {
            self.runs(tag) || self.cached.iter().any(|it| it.tag == tag && is_recent(it))
        };
        parts.iter().take_while(|it| is_cached(it.tag)).map(|it| it.tokens).sum()
    }

    fn record_cached(&mut self, tag: u16, now: Instant) {
        if let Some(it) = self.cached.iter_mut().find(|it| it.tag == tag) {
            it.last_used = now;
            return;
        }
        if self.cached.len() >= MAX_CACHED {
            let oldest = (0..self.cached.len()).min_by_key(|at| self.cached[*at].last_used);
            self.cached.swap_remove(oldest.unwrap_or(0));
        }
        self.cached.push(CachedPart { tag, last_used: now });
    }
}
