//! Decoding of service paths; ambiguous ones are refused.

use percent_encoding::percent_decode_str;

/// Decodes `path`. At-most-once calls are recognised by the decoded form.
///
/// # Errors
/// Refuses what a service could interpret as another path: dot segments, empty
/// segments, encoded slashes, backslashes, control characters and double
/// encoding.
pub(crate) fn decode(path: &str) -> Result<String, &'static str> {
    let decoded = percent_decode_str(path)
        .decode_utf8()
        .map_err(|_| "the path is not valid UTF-8")?
        .into_owned();
    if decoded.contains(|it: char| it.is_control() || it == '\\') {
        return Err("the path contains a control character or a backslash");
    }
    if decoded.matches('/').count() != path.matches('/').count() {
        return Err("the path contains an encoded slash");
    }
    if has_escape(&decoded) {
        return Err("the path is percent-encoded twice");
    }
    let last = decoded.matches('/').count();
    let mut segments = decoded.split('/').enumerate().skip(1);
    if segments.any(|(i, it)| it == "." || it == ".." || (it.is_empty() && i < last)) {
        return Err("the path contains a dot segment or an empty segment");
    }
    Ok(decoded)
}

/// Whether `text` contains a percent sign followed by two hexadecimal digits.
fn has_escape(text: &str) -> bool {
    let is_hex = |it: Option<&u8>| it.is_some_and(u8::is_ascii_hexdigit);
    let bytes = text.as_bytes();
    let escape =
        |i: usize| bytes[i] == b'%' && is_hex(bytes.get(i + 1)) && is_hex(bytes.get(i + 2));
    (0..bytes.len()).any(escape)
}
