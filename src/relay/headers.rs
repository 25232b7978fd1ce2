//! Hop-by-hop headers.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use smallvec::SmallVec;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
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
