//! Encoding of server-sent events.

use bytes::Bytes;

/// Encodes one event; an empty id or name is left out.
pub(crate) fn frame(id: &str, name: &str, data: &str) -> Bytes {
    let mut text = String::with_capacity(data.len() + id.len() + name.len() + 24);
    if !id.is_empty() {
        text.push_str("id: ");
        text.push_str(id);
        text.push('\n');
    }
    if !name.is_empty() {
        text.push_str("event: ");
        text.push_str(name);
        text.push('\n');
    }
    for line in data.split('\n') {
        text.push_str("data: ");
        text.push_str(line);
        text.push('\n');
    }
    text.push('\n');
    Bytes::from(text)
}
