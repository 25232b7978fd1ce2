//! Gossip messages between routers: one type for requests and replies.
//!
//! They are encoded as maps with field names, so that unknown fields of a newer peer
//! are ignored.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::wire::{Instance, LoadReport, WireInForce};

/// Version of the messages. A message with another version is ignored, and its sender gets
/// a reply with this version.
pub const GOSSIP_VERSION: u16 = 1;

key! {
    /// State of a router, in ascending rank: of two entries with the same incarnation, the
    /// one with the higher rank wins.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum MemberStatus {
        /// It responds.
        Alive,
        /// It did not respond to another router.
        Suspect,
        /// It accepts no new callers.
        Leaving,
        /// It did not refute the suspicion in time.
        Dead,
    }
}

wire! {
    /// Membership entry of a router.
    pub struct WireMember {
        /// Its name.
        #[serde(rename = "n")]
        pub name: String,
        /// Increases with each start and each time it refutes a suspicion.
        #[serde(rename = "i")]
        pub incarnation: u64,
        /// Its state.
        #[serde(rename = "s")]
        pub status: MemberStatus,
        /// Address for callers.
        #[serde(rename = "a")]
        pub address: SocketAddr,
        /// Address for control requests.
        #[serde(rename = "c")]
        pub control: SocketAddr,
        /// Its failure domain.
        #[serde(rename = "d")]
        pub domain: String,
    }

    /// Leaving mark of a backend server: it accepts no new work.
    pub struct WireLeavingMark {
        /// Its name.
        #[serde(rename = "n")]
        pub name: String,
        /// Incarnation that is leaving; 0 when unknown.
        #[serde(rename = "i")]
        pub incarnation: u64,
        /// Remaining validity, in milliseconds.
        #[serde(rename = "t")]
        pub remaining_ms: u64,
    }

    /// Leaving marks of many backend servers, as a bit set over the instance list.
    pub struct WireLeavingMarkSet {
        /// Digest of the sorted names of all backend servers on the sender's instance list; a
        /// receiver with another list cannot use the set.
        #[serde(rename = "h")]
        pub names_digest: u64,
        /// Highest incarnation that is leaving; 0 when none is known.
        #[serde(rename = "i")]
        pub max_incarnation: u64,
        /// Remaining validity of the marks, in milliseconds.
        #[serde(rename = "t")]
        pub remaining_ms: u64,
        /// One bit for each name, starting with the lowest bit of the first byte.
        #[serde(rename = "b")]
        pub bits: Vec<u8>,
    }

    /// An entry of the instance list, with a version number that the routers maintain.
    pub struct WireInstanceEntry {
        /// Number of changes of this entry.
        #[serde(rename = "v")]
        pub version: u64,
        /// Its name.
        #[serde(rename = "n")]
        pub name: String,
        /// The instance; absent once it was removed from the list.
        #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
        pub instance: Option<Instance>,
    }

    /// Load of an engine in compact form.
    pub struct WireLoad(
        /// Hash of its name.
        pub u64,
        /// Sequence number of the report.
        pub u64,
        /// Incarnation.
        pub u64,
        /// Tokens, running requests, queued requests, slots.
        pub [u64; 4],
    );

    /// Models and adapters that an engine has loaded.
    pub struct WireLoadedModels(
        /// Hash of its name.
        pub u64,
        /// Sequence number of the change.
        pub u64,
        /// Incarnation.
        pub u64,
        /// Hashes of all names by which requests may ask for them.
        pub Vec<u64>,
    );

    /// Report of a backend server that crashed while it ran a request.
    #[derive(Copy)]
    pub struct WireCrash(
        /// Fingerprint of the request.
        pub u64,
        /// Hash of the backend server's name.
        pub u64,
        /// Incarnation that crashed.
        pub u64,
        /// Number of the last ticket that had lifted the suspicion against the request before
        /// the crash; 0 for none.
        pub u64,
        /// Time since the crash, in milliseconds.
        pub u64,
    );

    /// Request for the records, or for a part of the full state, that the sender lacks.
    #[derive(Copy)]
    pub struct StateRequest {
        /// Offset of the first record that the sender lacks.
        pub next: u64,
        /// Offset up to which the full state that is being fetched goes; 0 when none is.
        #[serde(default)]
        pub whole: u64,
        /// Index of the requested part of that state.
        #[serde(default)]
        pub part: usize,
    }

    /// A part of the full state, which is sent as JSON text cut into parts.
    pub struct StatePart {
        /// Offset up to which the state goes; identifies the state.
        pub whole: u64,
        /// Index of this part, from 0.
        pub part: usize,
        /// Number of parts.
        pub parts: usize,
        /// The text.
        pub text: String,
    }

    /// All that a newly started router needs.
    pub struct FullState {
        /// The state in force.
        pub state: WireInForce,
        /// The instance list.
        #[serde(rename = "lines")]
        pub instances: Vec<WireInstanceEntry>,
    }

    /// One gossip message.
    pub struct Gossip {
        /// Version of the message format.
        #[serde(rename = "v")]
        pub version: u16,
        /// The sender.
        #[serde(rename = "f")]
        pub from: WireMember,
        /// Offset of the first record that the sender has not folded.
        #[serde(rename = "o")]
        pub next: u64,
        /// Digest over all records that the sender has folded.
        #[serde(rename = "h")]
        pub chain: u64,
        /// Time since the sender, or a router it knows of, last reached the log, in
        /// milliseconds.
        #[serde(rename = "la", default, skip_serializing_if = "Option::is_none")]
        pub log_age: Option<u64>,
        /// Leaving marks, each with the name of its backend server.
        #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
        pub marks: Vec<WireLeavingMark>,
        /// Digest of all leaving marks known to the sender.
        #[serde(rename = "kd", default, skip_serializing_if = "Option::is_none")]
        pub marks_digest: Option<u64>,
        /// Leaving marks as a bit set, when there are many.
        #[serde(rename = "ks", default, skip_serializing_if = "Option::is_none")]
        pub mark_set: Option<WireLeavingMarkSet>,
        /// Records of the ticket stream by offset.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        pub records: Vec<(u64, String)>,
        /// Digest over all records before the first of `records`.
        #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
        pub base_chain: Option<u64>,
        /// Request for missing records or state.
        #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
        pub want: Option<StateRequest>,
        /// A part of the full state.
        #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
        pub part: Option<StatePart>,
        /// Membership entries of routers.
        #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
        pub members: Vec<WireMember>,
        /// Crash reports.
        #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
        pub crashes: Vec<WireCrash>,
        /// Entries of the instance list.
        #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
        pub instances: Vec<WireInstanceEntry>,
        /// Loads of engines.
        #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
        pub loads: Vec<WireLoad>,
        /// Models and adapters that engines have loaded.
        #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
        pub loaded_models: Vec<WireLoadedModels>,
        /// Digest of all that the sender knows about loaded models and adapters.
        #[serde(rename = "gd", default, skip_serializing_if = "Option::is_none")]
        pub loaded_digest: Option<u64>,
    }
}

impl Gossip {
    /// Whether it carries any leaving marks.
    pub fn has_marks(&self) -> bool {
        !self.marks.is_empty() || self.mark_set.is_some()
    }
}

impl From<&WireLoad> for LoadReport {
    fn from(it: &WireLoad) -> LoadReport {
        let [tokens, running, queued, slots] = it.3;
        LoadReport { incarnation: it.2, tokens, running, queued, slots, ..LoadReport::default() }
    }
}
