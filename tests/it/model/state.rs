//! State of the search and the actions that change it.

use filberttiller::decide::once::{Claim, ClaimIndex, Ledger, LedgerLimits, Op, Scope};

/// Ticks for which a key is good.
pub(super) const GOOD: u64 = 1;
pub(super) const OP: Op = Op { scope: Scope([7; 16]), body: 1 };
pub(super) const LIMITS: LedgerLimits = LedgerLimits { keys: 4, bytes: 64 };

/// What keeps a call from running twice or from being told wrongly.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Guard {
    /// Only the owner runs a call.
    OwnerOnly,
    /// A restarted router is another owner.
    Incarnation,
    /// The first claim in the log wins.
    FirstClaim,
    /// A claim counts only when it was read back.
    ReadBack,
    /// A lost reply is never taken for a run that did not take place.
    LostKept,
    /// A call whose owner is gone may have run.
    GoneMaybe,
    /// Without the log, peers are asked before `not_run` is told.
    PeersAsked,
    /// A router that has not read all claims since its start rules nothing out.
    Complete,
    /// The owner counts a claim's age from before its append.
    ClaimAge,
    /// The deadline is looked at directly before the call is sent.
    Deadline,
    /// An owner whose claim is too old by the end of a run rules nothing out.
    RefusalAge,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Router {
    pub(super) up: bool,
    pub(super) paused: bool,
    pub(super) incarnation: u64,
    pub(super) ledger: Ledger<u8>,
    pub(super) index: ClaimIndex,
    pub(super) read: usize,
    /// Whether the log was read to its end since the start.
    pub(super) complete: bool,
    pub(super) made: Option<u64>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Told {
    NotRun,
    Maybe,
    Ran(u8),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Resend {
    Unsent,
    At { router: usize, forwarded: bool, step: Step },
    Done(Told),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Step {
    Arrived,
    Claiming,
    Waiting,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    Admitted,
    Sent,
    Ran(u8),
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Run {
    pub(super) router: usize,
    pub(super) incarnation: u64,
    /// The send that it belongs to.
    pub(super) send: usize,
    /// When the owner claimed the key.
    pub(super) since: u64,
    /// Deadline of the call.
    pub(super) until: u64,
    pub(super) stage: Stage,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct State {
    pub(super) now: u64,
    pub(super) routers: [Router; 2],
    pub(super) sends: Vec<Resend>,
    pub(super) log: Vec<Claim>,
    /// Claims on their way to the log; they may land after their sender crashed.
    pub(super) appends: Vec<Claim>,
    pub(super) runs: Vec<Run>,
    /// When the service ran the call.
    pub(super) ran_at: Vec<u64>,
    pub(super) false_not_run: bool,
    pub(super) crashes: u8,
    pub(super) pauses: u8,
    pub(super) losses: u8,
    pub(super) refusals: u8,
}

#[derive(Debug, Clone, Copy)]
#[allow(dead_code)]
pub(super) enum Action {
    Send(usize, usize),
    Handle(usize),
    GiveUp(usize),
    NoClaim(usize),
    Land(usize),
    DropAppend(usize),
    Tail(usize),
    Start(usize),
    Refuse(usize),
    Serve(usize),
    Reply(usize),
    LoseReply(usize),
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Wake(usize),
    Expire(usize),
    Tick,
}

pub(super) fn fresh() -> Router {
    Router {
        up: true,
        paused: false,
        incarnation: 0,
        ledger: Ledger::new(LIMITS),
        index: ClaimIndex::default(),
        read: 0,
        complete: true,
        made: None,
    }
}
