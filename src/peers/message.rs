//! The body of an exchange: the message, and news that older routers do not read.

use bytes::Bytes;

use crate::peers::encode;
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
        let exchange = encode(&self.exchange)?;
        if self.news.is_empty() {
            return Ok(exchange);
        }
        let mut bytes = exchange.to_vec();
        bytes.extend(rmp_serde::to_vec_named(&self.news)?);
        Ok(bytes.into())
    }

    /// Decodes a message. News that are missing are empty.
    ///
    /// # Errors
    /// Fails when one of the values is malformed.
    pub fn decode(mut bytes: &[u8]) -> Result<Message, rmp_serde::decode::Error> {
        let exchange = rmp_serde::from_read(&mut bytes)?;
        let news = match bytes.is_empty() {
            true => WireNews::default(),
            false => rmp_serde::from_slice(bytes)?,
        };
        Ok(Message { exchange, news })
    }
}
