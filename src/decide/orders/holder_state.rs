//! Whether an engine can be relied on to hold an item that another engine unloads.

key! {
    /// What an engine's report implies about its copy of an item.
    pub enum HolderState {
        /// It holds the item, and refuses every order older than the unload.
        Holds,
        /// It holds the item, but an older order could still make it unload the item.
        Unfenced,
        /// It does not hold the item.
        Lacks,
    }
}

/// Derives the state of an engine from its report: whether it `holds` the item, and the
/// highest fencing number that it has `seen`. Another engine is to unload the item under
/// the number `fencing`.
///
/// An unload whose number belongs to its claim alone, sent after all required holders are
/// [`HolderState::Holds`], never removes the last copy, provided that engines check the
/// numbers. To unload the copy of a required holder later, an order needs a higher number
/// and required holders of its own. Each of these either can only be unloaded under a still
/// higher number, or is the first engine, which has then seen the higher number and refuses
/// the first unload.
pub fn holder_state(holds: bool, seen: u64, fencing: u64) -> HolderState {
    match (holds, seen >= fencing) {
        (true, true) => HolderState::Holds,
        (true, false) => HolderState::Unfenced,
        (false, _) => HolderState::Lacks,
    }
}
