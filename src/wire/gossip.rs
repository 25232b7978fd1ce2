//! Messages between routers: one form for requests and replies.
//!
//! They travel as named maps, so that fields of a newer peer pass.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::wire::{Instance, LoadReport, WireInForce};

/// Version of the messages; a peer of another one is told so and left alone.
pub const GOSSIP_VERSION: u16 = 1;

key! {
    /// What is thought of a router, by rank: of two rows with one incarnation,
    /// the later one here holds.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "lowercase")]
    pub enum MemberStatus {
        /// It answers.
        Alive,
        /// It did not answer somebody.
        Suspect,
        /// It takes no new callers.
        Leaving,
        /// It did not object to the suspicion in time.
        Dead,
    }
}

wire! {
    /// A router as others see it.
    pub struct WireMember {
        /// Its name.
        #[serde(rename = "n")]
        pub name: String,
        /// Grows with each start and each objection to a suspicion.
        #[serde(rename = "i")]
        pub incarnation: u64,
        /// What is thought of it.
        #[serde(rename = "s")]
        pub status: MemberStatus,
        /// Address for callers.
        #[serde(rename = "a")]
        pub address: SocketAddr,
        /// Address for control calls.
        #[serde(rename = "c")]
        pub control: SocketAddr,
        /// Its failure domain.
        #[serde(rename = "d")]
        pub domain: String,
    }

    /// A backend server that takes no new work.
    pub struct WireLeavingMark {
        /// Its name.
        #[serde(rename = "n")]
        pub name: String,
        /// Incarnation that leaves; 0 when not known.
        #[serde(rename = "i")]
        pub incarnation: u64,
        /// How long the mark still holds, in milliseconds.
        #[serde(rename = "t")]
        pub remaining_ms: u64,
    }

    /// Leaving marks of many backend servers.
    pub struct WireLeavingMarkSet {
        /// Digest of the names of all backend servers on the sender's list, in order.
        #[serde(rename = "h")]
        pub names_digest: u64,
        /// Highest incarnation that leaves; 0 when none is known.
        #[serde(rename = "i")]
        pub max_incarnation: u64,
        /// How long the marks still hold, in milliseconds.
        #[serde(rename = "t")]
        pub remaining_ms: u64,
        /// One bit for each name, the lowest bit of the first byte first.
        #[serde(rename = "b")]
        pub bits: Vec<u8>,
    }

    /// A line of the instance list, with the version that this fleet counts.
    pub struct WireInstanceEntry {
        /// Counts the changes of this line.
        #[serde(rename = "v")]
        pub version: u64,
        /// Its name.
        #[serde(rename = "n")]
        pub name: String,
        /// The line; absent once the instance is gone.
        #[serde(rename = "l", default, skip_serializing_if = "Option::is_none")]
        pub instance: Option<Instance>,
    }

    /// Load of an engine in short.
    pub struct WireLoad(
        /// Hash of its name.
        pub u64,
        /// Counts its reports.
        pub u64,
        /// Incarnation.
        pub u64,
        /// Tokens, running, queued, slots.
        pub [u64; 4],
    );

    /// What an engine holds.
    pub struct WireLoadedModels(
        /// Hash of its name.
        pub u64,
        /// Counts the changes.
        pub u64,
        /// Incarnation.
        pub u64,
        /// Hashes of the names by which requests ask for what it holds.
        pub Vec<u64>,
    );

    /// A crash report.
    #[derive(Copy)]
    pub struct WireCrash(
        /// Fingerprint of the request.
        pub u64,
        /// Hash of the backend server's name.
        pub u64,
        /// Incarnation that died.
        pub u64,
        /// Number of the ticket that had lifted the suspicion before; 0 for none.
        pub u64,
        /// Time since it died, in milliseconds.
        pub u64,
    );

    /// Asks for what the sender lacks.
    #[derive(Copy)]
    pub struct StateRequest {
        /// Offset of its first missing record.
        pub next: u64,
        /// The whole state up to this offset is being fetched; 0 for none.
        #[serde(default)]
        pub whole: u64,
        /// StatePart of it that is asked for.
        #[serde(default)]
        pub part: usize,
    }

    /// A part of the whole state as JSON text.
    pub struct StatePart {
        /// Offset up to which the state goes.
        pub whole: u64,
        /// Number of this part, from 0.
        pub part: usize,
        /// Number of parts.
        pub parts: usize,
        /// The text.
        pub text: String,
    }

    /// What a newcomer needs.
    pub struct FullState {
        /// The state in force.
        pub state: WireInForce,
        /// The instance list.
        #[serde(rename = "lines")]
        pub instances: Vec<WireInstanceEntry>,
    }

    /// One message.
    pub struct Gossip {
        /// Version of the form.
        #[serde(rename = "v")]
        pub version: u16,
        /// The sender.
        #[serde(rename = "f")]
        pub from: WireMember,
        /// Offset of the first record that it has not folded.
        #[serde(rename = "o")]
        pub next: u64,
        /// Digest over all records that it has folded.
        #[serde(rename = "h")]
        pub chain: u64,
        /// Time since anybody known to it heard from the log, in milliseconds.
        #[serde(rename = "la", default, skip_serializing_if = "Option::is_none")]
        pub log_age: Option<u64>,
        /// Leaving marks.
        #[serde(rename = "k", default, skip_serializing_if = "Vec::is_empty")]
        pub marks: Vec<WireLeavingMark>,
        /// Digest of all leaving marks that the sender holds.
        #[serde(rename = "kd", default, skip_serializing_if = "Option::is_none")]
        pub marks_digest: Option<u64>,
        /// Leaving marks, when they are many.
        #[serde(rename = "ks", default, skip_serializing_if = "Option::is_none")]
        pub mark_set: Option<WireLeavingMarkSet>,
        /// Records of the ticket stream by offset.
        #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
        pub records: Vec<(u64, String)>,
        /// Digest over all records before the first of `records`.
        #[serde(rename = "b", default, skip_serializing_if = "Option::is_none")]
        pub base_chain: Option<u64>,
        /// Asks for more.
        #[serde(rename = "w", default, skip_serializing_if = "Option::is_none")]
        pub want: Option<StateRequest>,
        /// A part of the whole state.
        #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
        pub part: Option<StatePart>,
        /// Routers.
        #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
        pub members: Vec<WireMember>,
        /// Crashes.
        #[serde(rename = "y", default, skip_serializing_if = "Vec::is_empty")]
        pub crashes: Vec<WireCrash>,
        /// Lines of the instance list.
        #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
        pub instances: Vec<WireInstanceEntry>,
        /// Loads of engines.
        #[serde(rename = "e", default, skip_serializing_if = "Vec::is_empty")]
        pub loads: Vec<WireLoad>,
        /// What engines hold.
        #[serde(rename = "g", default, skip_serializing_if = "Vec::is_empty")]
        pub loaded_models: Vec<WireLoadedModels>,
        /// Digest of all that the sender knows about what engines hold.
        #[serde(rename = "gd", default, skip_serializing_if = "Option::is_none")]
        pub loaded_digest: Option<u64>,
    }
}

impl Gossip {
    /// Whether it tells any leaving marks.
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
