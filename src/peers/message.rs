//! The body of an exchange: the message, and news that older routers do not read.

use bytes::Bytes;

use crate::peers::encoding::{decode_with, encode, encode_with};
use crate::wire::{WireExchange, WireNews};

/// An exchange between two routers.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// State that all routers exchange.
    pub exchange: WireExchange,
    /// News, mostly empty.
    pub news: WireNews,
}

impl Message {
    /// Encodes it as two MessagePack values; empty news are left out. Routers that know no
    /// news read the first value only.
    ///
    /// # Errors
    /// Fails when it cannot be serialised.
    pub fn encode(&self) -> Result<Bytes, rmp_serde::encode::Error> {
        match self.news.is_empty() {
            true => encode(&self.exchange),
            false => encode_with(&self.exchange, &self.news),
        }
    }

    /// Decodes a message. News that are missing are empty.
    ///
    /// # Errors
    /// Fails when one of the values is malformed.
    pub fn decode(bytes: &[u8]) -> Result<Message, rmp_serde::decode::Error> {
        let (exchange, news) = decode_with(bytes)?;
        Ok(Message { exchange, news: news.unwrap_or_default() })
    }
}
