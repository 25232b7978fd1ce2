//! Claims to give orders to engines, queued in the order of the log.

use std::collections::BTreeMap;

key! {
    /// The kind of order that a claim is for.
    pub enum ClaimKind {
        /// A load, which occupies one of the fleet's slots at the weight store.
        Load,
        /// An unload.
        Unload,
    }

    /// A router's claim to give an engine one order.
    pub struct Claim {
        /// Unique identifier.
        pub id: u64,
        /// Hash of the engine's name.
        pub engine: u64,
        /// Kind of the order.
        pub kind: ClaimKind,
        /// Key of the item to load or unload.
        pub key: u64,
    }

    /// The state of a claim by its position in the log.
    pub enum ClaimState {
        /// Its order may be sent.
        Ready,
        /// It must wait for earlier claims.
        Waiting,
        /// It is closed or expired, or was never read.
        Closed,
    }
}

key! {
    /// A claim that was read from the log and is open.
    struct OpenClaim {
        claim: Claim,
        /// When it was read, in milliseconds of this router's clock.
        read_ms: u64,
    }
}

/// Claims that are neither closed nor expired, by offset in the log.
///
/// All readers see the claims in the same order. A claim may be open at one reader and
/// already expired at another one that read it earlier; the first one then only waits
/// longer.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct ClaimQueue {
    open: BTreeMap<u64, OpenClaim>,
}

impl ClaimQueue {
    /// Adds the claim at `offset` of the log, read at `now_ms`.
    pub fn insert(&mut self, offset: u64, claim: Claim, now_ms: u64) {
        self.open.insert(offset, OpenClaim { claim, read_ms: now_ms });
    }

    /// Closes the claim with `id`.
    pub fn close(&mut self, id: u64) {
        self.open.retain(|_, it| it.claim.id != id);
    }

    /// Drops the claims that were read before `until_ms`.
    pub fn expire(&mut self, until_ms: u64) {
        self.open.retain(|_, it| it.read_ms >= until_ms);
    }

    /// Drops all claims.
    pub fn clear(&mut self) {
        self.open.clear();
    }

    /// Returns the number of open claims.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no claim is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether any claim for `engine` is open.
    pub fn is_claimed(&self, engine: u64) -> bool {
        self.open.values().any(|it| it.claim.engine == engine)
    }

    /// Returns the number of open claims for loads.
    pub fn open_loads(&self) -> usize {
        self.open.values().filter(|it| it.claim.kind == ClaimKind::Load).count()
    }

    /// Returns the offset of the open claim with `id`.
    pub fn offset(&self, id: u64) -> Option<u64> {
        self.open.iter().find(|(_, it)| it.claim.id == id).map(|(offset, _)| *offset)
    }

    /// Returns the state of the claim with `id`, with `slots` at the weight store.
    ///
    /// At most one claim for each engine, `slots` loads and one unload of each item are
    /// ready at a time. The last rule keeps two routers from unloading the same item, each
    /// from one engine, while each relies on the copy that the other one unloads.
    pub fn state(&self, id: u64, slots: usize) -> ClaimState {
        let Some(at) = self.offset(id) else {
            return ClaimState::Closed;
        };
        let own = self.open[&at].claim;
        let earlier = || self.open.range(..at).map(|(_, it)| it.claim);
        let same_engine = earlier().any(|it| it.engine == own.engine);
        let blocked = match own.kind {
            ClaimKind::Load => earlier().filter(|it| it.kind == ClaimKind::Load).count() >= slots,
            ClaimKind::Unload => {
                earlier().any(|it| it.kind == ClaimKind::Unload && it.key == own.key)
            }
        };
        if same_engine || blocked { ClaimState::Waiting } else { ClaimState::Ready }
    }
}
