//! Reads a body into memory that is reserved for it.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;

use crate::intake::{Client, MemoryBudget, Reservation};

/// Memory reserved at first for a body of unknown length.
const FIRST_BYTES: usize = 8 * 1024;
/// How many times as much is reserved once that does not suffice.
const GROWTH: usize = 8;

/// What the HTTP library holds of a long body at most: its buffer, and the part before that.
const READ_BYTES: usize = 128 * 1024;

/// Why a body was not read.
#[derive(Debug)]
pub enum ReadError<E> {
    /// It is longer than allowed.
    TooLong,
    /// There is no memory for it.
    NoMemory,
    /// It broke off.
    Broken(E),
}

/// Memory that is reserved for a client; released when dropped.
struct Room {
    client: Arc<Client>,
    reservation: Reservation,
}

impl Room {
    async fn take(
        client: &Arc<Client>,
        budget: &Arc<MemoryBudget>,
        bytes: usize,
        until: Instant,
    ) -> Option<Room> {
        let reservation = client.intake.reserve(client, budget, bytes, until).await?;
        client.add_reserved(bytes);
        Some(Room { client: Arc::clone(client), reservation })
    }
}

impl Drop for Room {
    fn drop(&mut self) {
        self.client.remove_reserved(self.reservation.bytes());
    }
}

/// A body with the memory that is reserved for it.
struct HeldBody {
    bytes: Vec<u8>,
    _room: Room,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// Reads a body of up to `limit` bytes for `client` into memory of `budget`, beside `extra` bytes
/// that are held with it. A body whose length is known is refused before it is read. The memory
/// is released with the last copy of the result. Waits for memory until `until`.
///
/// # Errors
/// Fails when the body is too long or breaks off, or when there is no memory for it.
pub async fn read_body<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    client: &Arc<Client>,
    budget: &Arc<MemoryBudget>,
    extra: usize,
    limit: usize,
    until: Instant,
) -> Result<Bytes, ReadError<B::Error>> {
    let length = body.size_hint();
    if length.lower() > limit as u64 {
        return Err(ReadError::TooLong);
    }
    let first = match length.exact() {
        Some(bytes) => bytes as usize,
        None => FIRST_BYTES.min(limit),
    };
    let room = Room::take(client, budget, cost(first) + extra, until).await;
    let mut room = room.ok_or(ReadError::NoMemory)?;
    let mut bytes = Vec::with_capacity(first);
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(ReadError::Broken)?;
        let Some(data) = frame.data_ref() else { continue };
        let needed = bytes.len() + data.len();
        if needed > limit {
            return Err(ReadError::TooLong);
        }
        if needed > bytes.capacity() {
            let capacity = needed.max(bytes.capacity() * GROWTH).min(limit);
            let grown = Room::take(client, budget, cost(capacity) + extra, until).await;
            let grown = grown.ok_or(ReadError::NoMemory)?;
            // Both copies count until the old one is dropped.
            let mut copy = Vec::with_capacity(capacity);
            copy.extend_from_slice(&bytes);
            bytes = copy;
            room = grown;
        }
        bytes.extend_from_slice(data);
    }
    Ok(Bytes::from_owner(HeldBody { bytes, _room: room }))
}

/// Memory that a body of `bytes` takes while it is read.
fn cost(bytes: usize) -> usize {
    bytes + bytes.min(READ_BYTES)
}
