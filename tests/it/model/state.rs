//! The state of a search and the actions that change it.

use filberttiller::decide::once::{Claim, ClaimIndex, Ledger, LedgerLimits, Op, Scope};

/// Ticks for which a key is valid.
pub(super) const VALID_TICKS: u64 = 1;
pub(super) const OP: Op = Op { scope: Scope([7; 16]), body: 1 };
pub(super) const LIMITS: LedgerLimits = LedgerLimits { keys: 4, bytes: 64 };

/// A rule that keeps a call from running twice or from getting a wrong answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum Guard {
    /// Only the owner runs a call.
    OwnerOnly,
    /// A restarted router is a different owner.
    Incarnation,
    /// The first claim in the log wins.
    FirstClaim,
    /// A claim counts only after it was read back from the log.
    ReadBack,
    /// A lost reply is never taken for a run that did not take place.
    LostReply,
    /// A call whose owner is gone may have run.
    GoneOwner,
    /// Without the log, peers are polled before `not_run` is answered.
    PeersPolled,
    /// A router that has not read all claims since its start never answers `not_run` for an
    /// unclaimed key.
    CompleteLog,
    /// The owner counts a claim's age from before its append.
    ClaimAge,
    /// The deadline is checked directly before the call is sent.
    Deadline,
    /// An owner whose claim is too old at the end of a run never answers `not_run`.
    RefusalAge,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Router {
    pub(super) up: bool,
    pub(super) paused: bool,
    pub(super) incarnation: u64,
    pub(super) ledger: Ledger<u8>,
    pub(super) index: ClaimIndex,
    /// Records of the log read so far.
    pub(super) read: usize,
    /// Whether the log was read to its end since the start.
    pub(super) complete: bool,
    /// When the router made its claim that it has not read back yet.
    pub(super) claimed_at: Option<u64>,
}

/// The answer to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum CallVerdict {
    NotRun,
    MayHaveRun,
    Ran(u8),
}

/// The state of one send of the call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum SendState {
    Unsent,
    At { router: usize, forwarded: bool, step: Step },
    Done(CallVerdict),
}

/// The progress of a send at a router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Step {
    Arrived,
    Claiming,
    Waiting,
}

/// The progress of a run.
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
    pub(super) sends: Vec<SendState>,
    pub(super) log: Vec<Claim>,
    /// Claims in transit to the log; they may arrive after their sender crashed.
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
    ClaimTimeout(usize),
    Append(usize),
    DropAppend(usize),
    ReadLog(usize),
    Start(usize),
    Refuse(usize),
    Serve(usize),
    Reply(usize),
    LoseReply(usize),
    Crash(usize),
    Restart(usize),
    Pause(usize),
    Resume(usize),
    Expire(usize),
    Tick,
}

pub(super) fn new_router() -> Router {
    Router {
        up: true,
        paused: false,
        incarnation: 0,
        ledger: Ledger::new(LIMITS),
        index: ClaimIndex::default(),
        read: 0,
        complete: true,
        claimed_at: None,
    }
}
