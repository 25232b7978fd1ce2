//! Headers that concern one connection only.

use hyper::HeaderMap;
use hyper::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HeaderName, TE, TRAILER, TRANSFER_ENCODING, UPGRADE,
};
use smallvec::SmallVec;

const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");
const PROXY_CONNECTION: HeaderName = HeaderName::from_static("proxy-connection");
const HOP: [HeaderName; 9] = [
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

/// Removes headers of the connection, those that `Connection` names, and the
/// framing of the body, which is made anew (RFC 9110, section 7.6.1).
pub fn drop_hop_headers(headers: &mut HeaderMap) {
    let named: SmallVec<[HeaderName; 2]> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|it| it.to_str().ok())
        .flat_map(|it| it.split(','))
        .filter_map(|it| it.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP) {
        headers.remove(name);
    }
}
