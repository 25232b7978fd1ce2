//! Fetching records that this router lacks, or the complete state in parts.

use std::net::SocketAddr;
use std::time::Duration;

use crate::controllers::Publisher;
use crate::controllers::messages::OutgoingExchange;
use crate::events::Code;
use crate::state::InForce;
use crate::wire::{FullState, Gossip, StatePart, StateRequest, WireInForce, packed_len};

/// Limit of the compressed records in a reply to a peer that requests them, in bytes.
const REPLY_BYTES: usize = 2_048;
/// Limit of the uncompressed text of records in one message, in bytes.
const TEXT_BYTES: usize = 32_768;
/// Size of one part of the complete state, in bytes.
const PART_BYTES: usize = 2_048;
/// How long the parts of a state are retained after the last request for one.
const MAX_PARTS_AGE: Duration = Duration::from_secs(10);

/// The fetch of records or state from a peer.
#[derive(Debug)]
pub(super) struct Pull {
    pub(super) peer: String,
    pub(super) addr: SocketAddr,
    /// Whether an exchange is in progress.
    pub(super) busy: bool,
    /// Offset of the complete state, and its parts received so far.
    pub(super) received_parts: Option<(u64, Vec<String>)>,
}

impl Publisher {
    /// Adds to `reply` the records or the part of the state that the peer wants.
    pub(super) fn serve(&mut self, want: StateRequest, reply: &mut Gossip) {
        if want.next >= self.state.next {
            return;
        }
        if want.whole == 0
            && let Some(records) = self.records(want.next, REPLY_BYTES)
        {
            reply.records = records;
            reply.base_chain = self.base(&reply.records);
            return;
        }
        reply.part = self.state_part(want);
    }

    /// Records from offset `from` on: at least one, and no more than fit `max_bytes` when
    /// compressed. `None` when `from` is older than the retained history.
    pub(super) fn records(&self, from: u64, max_bytes: usize) -> Option<Vec<(u64, String)>> {
        if from >= self.state.next {
            return Some(Vec::new());
        }
        let mut found = self.history.since(from, TEXT_BYTES)?;
        while found.len() > 1 && packed_len(found.iter().map(|it| it.1.as_str())) > max_bytes {
            found.truncate(found.len() * 3 / 4);
        }
        Some(found)
    }

    /// A part of the complete state. The state is split again when its parts are not
    /// newer than what the peer has, or when no peer has fetched one for some time.
    fn state_part(&mut self, want: StateRequest) -> Option<StatePart> {
        let now = self.now();
        let stale = self.state_parts.as_ref().is_none_or(|(offset, _, used)| {
            *offset <= want.next || now.saturating_duration_since(*used) > MAX_PARTS_AGE
        });
        if stale {
            let mut state = WireInForce::from(self.state.as_ref());
            state.outcomes.clear();
            let bulk = FullState { state, instances: self.instance_table.entries() };
            let text = serde_json::to_string(&bulk).ok()?;
            self.state_parts = Some((self.state.next, split_text(&text, PART_BYTES), now));
        }
        let (offset, parts, used) = self.state_parts.as_mut()?;
        *used = now;
        let part = if want.whole == *offset { want.part } else { 0 };
        let text = parts.get(part)?.clone();
        Some(StatePart { whole: *offset, part, parts: parts.len(), text })
    }

    /// Adds a received part of the state, and adopts the state once it is complete.
    pub(super) fn collect_part(&mut self, peer: &str, part: StatePart) {
        let Some(pull) = &mut self.pull else {
            return;
        };
        let (offset, texts) = pull.received_parts.get_or_insert_default();
        if *offset != part.whole {
            *offset = part.whole;
            texts.clear();
        }
        if texts.len() != part.part {
            return;
        }
        texts.push(part.text);
        if texts.len() < part.parts {
            return;
        }
        let text = texts.concat();
        pull.received_parts = None;
        let Ok(bulk) = serde_json::from_str::<FullState>(&text) else {
            return;
        };
        for it in bulk.instances {
            self.instance_table.merge(it);
        }
        if let Ok(state) = InForce::try_from(bulk.state)
            && self.adopt(state, Code::StateFromPeer, &format!(" of {peer}"))
        {
            self.request_urgent_exchanges();
        }
        self.publish();
    }

    /// The next exchange that fetches records or state that this router lacks.
    pub(super) fn next_pull(&mut self) -> Option<OutgoingExchange> {
        if self.pull.as_ref().is_some_and(|it| !it.busy && self.is_busy(&it.peer)) {
            self.pull = None;
        }
        let pull = self.pull.as_mut().filter(|it| !it.busy)?;
        pull.busy = true;
        let (whole, part) = pull.received_parts.as_ref().map_or((0, 0), |it| (it.0, it.1.len()));
        let (peer, addr) = (pull.peer.clone(), pull.addr);
        let mut message = self.compose(&peer, true);
        message.want = Some(StateRequest { next: self.state.next, whole, part });
        Some(OutgoingExchange { peer, addr, message, pull: true })
    }
}

/// Splits `text` between characters into pieces of about `bytes`.
fn split_text(text: &str, bytes: usize) -> Vec<String> {
    let mut remaining = text;
    let mut pieces = Vec::new();
    while !remaining.is_empty() {
        let mut at = bytes.min(remaining.len());
        while !remaining.is_char_boundary(at) {
            at += 1;
        }
        let (piece, tail) = remaining.split_at(at);
        pieces.push(piece.to_owned());
        remaining = tail;
    }
    pieces
}
