//! A store as one router sees it, where the router has links of its own to the backend servers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use serde_json::Value;

use crate::server::Server;

/// Topic of the records of backend servers.
const SERVERS_TOPIC: &str = "keyed.servers";

/// Addresses that replace those in the records of backend servers, by id.
#[derive(Debug, Clone, Default)]
pub(crate) struct Addresses(Arc<Mutex<HashMap<String, SocketAddr>>>);

impl Addresses {
    /// `value`, the record of `key` in `topic`, with the address that replaces its own.
    pub fn replace_in(&self, topic: &str, key: &str, value: &[u8]) -> Vec<u8> {
        let address = self.0.lock().unwrap().get(key).copied().filter(|_| topic == SERVERS_TOPIC);
        let record = serde_json::from_slice::<Value>(value).ok();
        let Some((address, mut record)) = address.zip(record) else {
            return value.to_vec();
        };
        record["address"] = address.to_string().into();
        record.to_string().into_bytes()
    }

    /// `record` of `topic`, as it is appended, with the address that replaces its own.
    pub fn replace_in_record(&self, topic: &str, record: &[u8]) -> Vec<u8> {
        let (length, rest) = record.split_first().expect("a record has a key");
        let (key, value) = rest.split_at(usize::from(*length));
        let text = String::from_utf8_lossy(key);
        [&[*length], key, &self.replace_in(topic, &text, value)].concat()
    }
}

/// A running view of a store; it stops when dropped.
#[derive(Debug)]
pub struct StoreView {
    pub(crate) server: Server,
    pub(crate) addresses: Addresses,
}

impl StoreView {
    /// Address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Sets the address of the backend server `id`. To be called before its record is written.
    pub fn set_server(&self, id: &str, address: SocketAddr) {
        self.addresses.0.lock().unwrap().insert(id.to_owned(), address);
    }
}
