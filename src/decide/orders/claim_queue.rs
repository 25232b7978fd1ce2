//! Claims of engines in the order of the log.

use std::collections::BTreeMap;

key! {
    /// What a claim is for.
    pub enum ClaimKind {
        /// A load, which takes one of the fleet's slots at the weight store.
        Load,
        /// An unload.
        Unload,
    }

    /// A router's claim to give an engine one order.
    pub struct Claim {
        /// Names the claim; unique.
        pub id: u64,
        /// Hash of the engine's name.
        pub engine: u64,
        /// What for.
        pub kind: ClaimKind,
        /// Key of what is loaded or unloaded.
        pub key: u64,
    }

    /// What the order of the log says about a claim.
    pub enum ClaimState {
        /// Its order may be sent.
        Ready,
        /// Earlier claims come first.
        Waiting,
        /// It is over, or was never read.
        Closed,
    }
}

key! {
    /// A claim that was read.
    struct Open {
        claim: Claim,
        /// When it was read, in milliseconds of this router's clock.
        read_ms: u64,
    }
}

/// Claims that are neither done nor expired, by offset.
///
/// Every reader sees them in one order. A reader may hold one for open that
/// another has expired: it has read it later, and then it only waits longer.
#[derive(Debug, Default, Clone, PartialEq, Eq, Hash)]
pub struct ClaimQueue {
    open: BTreeMap<u64, Open>,
}

impl ClaimQueue {
    /// Takes the claim at `offset`.
    pub fn insert(&mut self, offset: u64, claim: Claim, now_ms: u64) {
        self.open.insert(offset, Open { claim, read_ms: now_ms });
    }

    /// Closes the claim named `id`.
    pub fn close(&mut self, id: u64) {
        self.open.retain(|_, it| it.claim.id != id);
    }

    /// Forgets claims read before `until_ms`.
    pub fn expire(&mut self, until_ms: u64) {
        self.open.retain(|_, it| it.read_ms >= until_ms);
    }

    /// Forgets everything.
    pub fn clear(&mut self) {
        self.open.clear();
    }

    /// Number of open claims.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Whether no claim is open.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }

    /// Whether any claim to `engine` is open.
    pub fn is_claimed(&self, engine: u64) -> bool {
        self.open.values().any(|it| it.claim.engine == engine)
    }

    /// Open loads.
    pub fn open_loads(&self) -> usize {
        self.open.values().filter(|it| it.claim.kind == ClaimKind::Load).count()
    }

    /// Offset of the open claim named `id`.
    pub fn offset(&self, id: u64) -> Option<u64> {
        self.open.iter().find(|(_, it)| it.claim.id == id).map(|(offset, _)| *offset)
    }

    /// Whether it is the turn of the claim named `id`, with `slots` at the
    /// weight store.
    ///
    /// One claim to an engine goes at a time, `slots` loads at a time, and one
    /// unload of an item, so that no two routers count on each other's engine.
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
