//! Bodies of exchanges between routers: MessagePack, compressed when that is shorter.
//!
//! A message is a map, and no map begins with the first byte of a zlib stream, so
//! that either form is told by its first byte.

use std::fmt;
use std::io::{self, Read, Write};

use flate2::Compression;
use flate2::read::ZlibDecoder;
use flate2::write::ZlibEncoder;

use crate::wire::Gossip;

/// First byte of a zlib stream (RFC 1950) with a window of 32 KiB.
const ZLIB: u8 = 0x78;
/// Largest message after decompression, in bytes.
const MAX_MESSAGE: u64 = 4 * 1024 * 1024;

/// Why a message cannot be written or read.
#[derive(Debug)]
pub enum PackError {
    /// It cannot be encoded.
    Encode(rmp_serde::encode::Error),
    /// It is not of the form of a message.
    Decode(rmp_serde::decode::Error),
    /// It cannot be decompressed, or is too large.
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

/// The body of a message.
///
/// # Errors
/// Fails when the message cannot be encoded.
pub fn pack_gossip(message: &Gossip) -> Result<Vec<u8>, PackError> {
    let plain = rmp_serde::to_vec_named(message).map_err(PackError::Encode)?;
    Ok(match deflate(&plain) {
        Ok(short) if short.len() < plain.len() => short,
        _ => plain,
    })
}

/// Reads the body of a message, compressed or not.
///
/// # Errors
/// Fails on bytes that are no message.
pub fn unpack_gossip(body: &[u8]) -> Result<Gossip, PackError> {
    if body.first() != Some(&ZLIB) {
        return rmp_serde::from_slice(body).map_err(PackError::Decode);
    }
    let mut plain = Vec::new();
    let read = ZlibDecoder::new(body).take(MAX_MESSAGE + 1).read_to_end(&mut plain);
    let size = read.map_err(PackError::Inflate)? as u64;
    if size > MAX_MESSAGE {
        return Err(PackError::Inflate(io::ErrorKind::FileTooLarge.into()));
    }
    rmp_serde::from_slice(&plain).map_err(PackError::Decode)
}

/// Bytes that texts take together once compressed.
pub fn packed_len<'a>(texts: impl Iterator<Item = &'a str>) -> usize {
    let all: Vec<u8> = texts.flat_map(str::bytes).collect();
    deflate(&all).map_or(all.len(), |it| it.len())
}

fn deflate(plain: &[u8]) -> io::Result<Vec<u8>> {
    let mut encoder = ZlibEncoder::new(Vec::new(), Compression::default());
    encoder.write_all(plain)?;
    encoder.finish()
}
