//! Tokens at backend servers, as routers tell each other.

use crate::decide::{ServerTokens, SharedPart};

/// Tokens that one unit stands for in a message.
const UNIT_TOKENS: u64 = 16;

/// Packs the tokens of one router at several servers: unread and held tokens, the number of shared
/// parts, and the tag and tokens of each part. Tokens are rounded up to units. The servers are
/// those with requests in flight in the loads of the same message, in the same order.
pub fn pack_tokens<'a>(servers: impl IntoIterator<Item = &'a ServerTokens>) -> Vec<u8> {
    let mut bytes = Vec::new();
    for it in servers {
        bytes.extend(units(it.unread).to_le_bytes());
        bytes.extend(units(it.held).to_le_bytes());
        bytes.push(it.parts.len().min(u8::MAX.into()) as u8);
        for part in it.parts.iter().take(u8::MAX.into()) {
            bytes.extend(part.tag.to_le_bytes());
            bytes.extend(units(part.tokens).to_le_bytes());
        }
    }
    bytes
}

/// Decodes the output of [`pack_tokens`]; `None` if it is incomplete.
pub fn unpack_tokens(mut bytes: &[u8]) -> Option<Vec<ServerTokens>> {
    let mut servers = Vec::new();
    while !bytes.is_empty() {
        servers.push(take_server(&mut bytes)?);
    }
    Some(servers)
}

fn take_server(bytes: &mut &[u8]) -> Option<ServerTokens> {
    let mut server = ServerTokens {
        unread: take_tokens(bytes)?,
        held: take_tokens(bytes)?,
        ..ServerTokens::default()
    };
    let (count, rest) = bytes.split_first()?;
    *bytes = rest;
    for _ in 0..*count {
        let part = SharedPart { tag: take_u16(bytes)?, tokens: take_tokens(bytes)? };
        server.add_part(part);
    }
    Some(server)
}

fn take_tokens(bytes: &mut &[u8]) -> Option<u64> {
    Some(u64::from(take_u16(bytes)?) * UNIT_TOKENS)
}

fn take_u16(bytes: &mut &[u8]) -> Option<u16> {
    let (first, rest) = bytes.split_first_chunk()?;
    *bytes = rest;
    Some(u16::from_le_bytes(*first))
}

/// Units for `tokens`, at most the largest number.
fn units(tokens: u64) -> u16 {
    tokens.div_ceil(UNIT_TOKENS).min(u16::MAX.into()) as u16
}
