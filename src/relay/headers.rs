//! Hop-by-hop headers, and the media type of streams.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING,
    UPGRADE,
};
use smallvec::SmallVec;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
/// Media type of a stream of server-sent events.
const EVENT_STREAM: &[u8] = b"text/event-stream";
/// Headers that describe one connection, or the framing of the body on it.
const HOP_BY_HOP: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
    KEEP_ALIVE,
    PROXY_CONNECTION,
];

/// Removes the hop-by-hop headers, those named by `Connection` among them, and the
/// headers that frame the body, which are written anew (RFC 9110, section 7.6.1).
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: SmallVec<[HeaderName; 2]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Whether a body can be a stream of events: no other media type is stated.
pub fn may_be_events(headers: &HeaderMap) -> bool {
    let Some(stated) = headers.get(CONTENT_TYPE) else {
        return true;
    };
    let start = stated.as_bytes().get(..EVENT_STREAM.len());
    start.is_some_and(|it| it.eq_ignore_ascii_case(EVENT_STREAM))
}
