//! The chat hint: which engine holds a chat's prefix.

/// Writes a chat hint: engine and incarnation.
pub(crate) fn write_hint(engine: u64, incarnation: u64) -> String {
    format!("{engine:016x}.{incarnation:x}")
}

/// Reads a chat hint; a wrong one counts as none.
pub(crate) fn read_hint(text: &str) -> Option<(u64, u64)> {
    let (engine, incarnation) = text.split_once('.')?;
    let engine = u64::from_str_radix(engine, 16).ok()?;
    Some((engine, u64::from_str_radix(incarnation, 16).ok()?))
}
