//! Paths towards services, read in one way only.

use percent_encoding::percent_decode_str;

/// The decoded form of `path`, by which calls that may not be repeated are
/// known.
///
/// # Errors
/// Refuses what a service could read as another path: dot segments, empty
/// segments, encoded slashes, backslashes, control characters and double
/// encoding.
pub(crate) fn decode(path: &str) -> Result<String, &'static str> {
    let decoded = percent_decode_str(path)
        .decode_utf8()
        .map_err(|_| "the path is not valid UTF-8")?
        .into_owned();
    if decoded.contains(|it: char| it.is_control() || it == '\\') {
        return Err("the path has a control character or a backslash");
    }
    if decoded.matches('/').count() != path.matches('/').count() {
        return Err("the path has an encoded slash");
    }
    if has_escape(&decoded) {
        return Err("the path is encoded twice");
    }
    let last = decoded.matches('/').count();
    let mut segments = decoded.split('/').enumerate().skip(1);
    if segments.any(|(i, it)| it == "." || it == ".." || (it.is_empty() && i < last)) {
        return Err("the path has a dot segment or an empty one");
    }
    Ok(decoded)
}

/// Whether a percent sign with two hexadecimal digits is left.
fn has_escape(text: &str) -> bool {
    let is_hex = |it: Option<&u8>| it.is_some_and(u8::is_ascii_hexdigit);
    let bytes = text.as_bytes();
    let escape =
        |i: usize| bytes[i] == b'%' && is_hex(bytes.get(i + 1)) && is_hex(bytes.get(i + 2));
    (0..bytes.len()).any(escape)
}
