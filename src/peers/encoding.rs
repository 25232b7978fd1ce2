//! The encoding of messages between routers.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Encodes a message as MessagePack.
///
/// # Errors
/// Fails when the message cannot be serialised.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, rmp_serde::encode::Error> {
    rmp_serde::to_vec(message).map(Bytes::from)
}

/// Decodes a message from MessagePack; what follows it is ignored.
///
/// # Errors
/// Fails when the bytes are not a valid message of the type.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Encodes a message and an addition as two MessagePack values. Routers that do not know
/// the addition read the first value only.
///
/// # Errors
/// Fails when one of them cannot be serialised.
pub(crate) fn encode_with<T: Serialize, A: Serialize>(
    message: &T,
    addition: &A,
) -> Result<Bytes, rmp_serde::encode::Error> {
    let mut bytes = rmp_serde::to_vec(message)?;
    bytes.extend(rmp_serde::to_vec_named(addition)?);
    Ok(bytes.into())
}

/// Decodes a message and, unless it is missing, an addition.
///
/// # Errors
/// Fails when one of them is malformed.
pub(crate) fn decode_with<T: DeserializeOwned, A: DeserializeOwned>(
    mut bytes: &[u8],
) -> Result<(T, Option<A>), rmp_serde::decode::Error> {
    let message = rmp_serde::from_read(&mut bytes)?;
    let addition = match bytes.is_empty() {
        true => None,
        false => Some(rmp_serde::from_slice(bytes)?),
    };
    Ok((message, addition))
}
