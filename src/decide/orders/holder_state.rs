//! Whether an engine can be relied on to keep what another one unloads.

key! {
    /// What an engine's report says about it as a keeper.
    pub enum HolderState {
        /// It holds the item, and refuses each order older than the unload's.
        Holds,
        /// It holds the item, but an older order could still take it away.
        Unfenced,
        /// It does not hold the item.
        Lacks,
    }
}

/// Judges a report made by an engine that `holds` the item or not and has seen
/// the fencing number `seen`, for an unload elsewhere under `fencing`.
///
/// An unload under a number that only its own claim has, sent after all keepers
/// are [`HolderState::Holds`], never takes the last copy from engines that check: were
/// the keeper's copy unloaded in turn, that order would have a higher number, and
/// its own keepers would have to be unloaded under still higher ones, or be the
/// first engine, which then refuses the first order.
pub fn holder_state(holds: bool, seen: u64, fencing: u64) -> HolderState {
    match (holds, seen >= fencing) {
        (true, true) => HolderState::Holds,
        (true, false) => HolderState::Unfenced,
        (false, _) => HolderState::Lacks,
    }
}
