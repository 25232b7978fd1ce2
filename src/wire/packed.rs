//! Encoding of gossip messages: MessagePack, compressed with zlib when that is shorter.
//!
//! The first byte tells the two forms apart: a message is a MessagePack map, and no map
//! begins with the first byte of a zlib stream.

use std::fmt;
use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

use crate::wire::Gossip;

/// First byte of a zlib stream (RFC 1950) with a window of 32 KiB.
const ZLIB_FIRST_BYTE: u8 = 0x78;
/// Largest message after decompression, in bytes.
const MAX_MESSAGE_BYTES: u64 = 4 * 1024 * 1024;

/// Why a message cannot be packed or unpacked.
#[derive(Debug)]
pub enum PackError {
    /// It cannot be encoded.
    Encode(rmp_serde::encode::Error),
    /// It is not a valid message.
    Decode(rmp_serde::decode::Error),
    /// It cannot be decompressed, or is too large afterwards.
    Inflate(io::Error),
}

impl fmt::Display for PackError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PackError::Encode(e) => write!(f, "cannot encode: {e}"),
            PackError::Decode(e) => write!(f, "cannot decode: {e}"),
            PackError::Inflate(e) => write!(f, "cannot decompress: {e}"),
        }
    }
}

impl std::error::Error for PackError {}

/// Encodes a message, compressed if that is shorter.
///
/// # Errors
/// Fails when the message cannot be encoded.
pub fn pack_gossip(message: &Gossip) -> Result<Vec<u8>, PackError> {
    let plain = rmp_serde::to_vec_named(message).map_err(PackError::Encode)?;
    Ok(match deflate(&plain) {
        Ok(compressed) if compressed.len() < plain.len() => compressed,
        _ => plain,
    })
}

/// Decodes a message, compressed or not.
///
/// # Errors
/// Fails on bytes that are not a valid message, and on one that is too large.
pub fn unpack_gossip(body: &[u8]) -> Result<Gossip, PackError> {
    if body.first() != Some(&ZLIB_FIRST_BYTE) {
        return rmp_serde::from_slice(body).map_err(PackError::Decode);
    }
    let mut plain = Vec::new();
    let read = ZlibDecoder::new(body).take(MAX_MESSAGE_BYTES + 1).read_to_end(&mut plain);
    let size = read.map_err(PackError::Inflate)? as u64;
    if size > MAX_MESSAGE_BYTES {
        return Err(PackError::Inflate(io::ErrorKind::FileTooLarge.into()));
    }
    rmp_serde::from_slice(&plain).map_err(PackError::Decode)
}

/// Size in bytes of the concatenated texts after compression.
pub fn packed_len<'a>(texts: impl Iterator<Item = &'a str>) -> usize {
    let plain: Vec<u8> = texts.flat_map(str::bytes).collect();
    deflate(&plain).map_or(plain.len(), |it| it.len())
}

fn deflate(plain: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(plain)?;
    encoder.finish()
}
