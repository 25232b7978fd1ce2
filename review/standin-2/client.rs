//! Clients.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Connection, Message, encode};

pub const HOST: &str = "shop.example";
pub const KEY: &str = "key-one";

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new request id; its first two digits tell the router that gets it.
pub fn new_id(router: usize) -> String {
    format!("{router:02x}{:014x}", NEXT.fetch_add(1, Ordering::Relaxed))
}

/// Encodes a request of a client.
pub fn encode_request(method: &str, path: &str, id: &str, ms: u64, body: &[u8]) -> Vec<u8> {
    let key = format!("Token {KEY}");
    let ms = ms.to_string();
    let headers = [
        ("Host", HOST),
        ("Request-Id", id),
        ("Deadline-Ms", ms.as_str()),
        ("Authorization", key.as_str()),
    ];
    encode(&format!("{method} {path} HTTP/1.1"), &headers, body)
}

/// Connects within a second, as clients do.
pub fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    Ok(Connection::new(stream))
}

/// Sends a request on a connection of its own and reads the answer within `limit`.
pub fn send(address: SocketAddr, request: &[u8], limit: Duration) -> io::Result<Message> {
    let mut connection = connect(address)?;
    connection.stream.set_read_timeout(Some(limit))?;
    connection.send(request)?;
    connection.answer()
}

/// A request of the platform.
pub fn get(address: SocketAddr, path: &str, limit: Duration) -> io::Result<Message> {
    let start = format!("GET {path} HTTP/1.1");
    send(address, &encode(&start, &[("Host", "x"), ("Connection", "close")], b""), limit)
}
