//! Fetching what this router lacks: records, or the whole state in parts.

use std::net::SocketAddr;
use std::time::Duration;

use crate::controllers::Publisher;
use crate::controllers::messages::OutgoingExchange;
use crate::events::Code;
use crate::state::InForce;
use crate::wire::{FullState, Gossip, StatePart, StateRequest, WireInForce, packed_len};

/// Bytes of compressed records in a reply to a peer that asks.
const PULL_BYTES: usize = 2_048;
/// Bytes of the text of records in one message.
const TEXT_BYTES: usize = 32_768;
/// Bytes of one part of the whole state.
const PART_BYTES: usize = 2_048;
/// How long a whole state is kept for the peer that fetches it.
const BULK_TIME: Duration = Duration::from_secs(10);

/// What this router fetches from a peer.
#[derive(Debug)]
pub(super) struct Pull {
    pub(super) peer: String,
    pub(super) addr: SocketAddr,
    /// Whether an exchange is under way.
    pub(super) busy: bool,
    /// Offset and parts of the whole state so far.
    pub(super) whole: Option<(u64, Vec<String>)>,
}

impl Publisher {
    /// Fills `reply` with what the peer wants.
    pub(super) fn serve(&mut self, want: StateRequest, reply: &mut Gossip) {
        if want.next >= self.state.next {
            return;
        }
        if want.whole == 0
            && let Some(records) = self.records(want.next, PULL_BYTES)
        {
            reply.records = records;
            reply.base_chain = self.base(&reply.records);
            return;
        }
        reply.part = self.part(want);
    }

    /// Records from offset `from` on, as many as `room` bytes hold when compressed,
    /// at least one; `None` when `from` is older than what is kept.
    pub(super) fn records(&self, from: u64, room: usize) -> Option<Vec<(u64, String)>> {
        if from >= self.state.next {
            return Some(Vec::new());
        }
        let mut found = self.history.since(from, TEXT_BYTES)?;
        while found.len() > 1 && packed_len(found.iter().map(|it| it.1.as_str())) > room {
            found.truncate(found.len() * 3 / 4);
        }
        Some(found)
    }

    /// A part of the whole state; it is cut anew when nobody fetches the old one.
    fn part(&mut self, want: StateRequest) -> Option<StatePart> {
        let now = self.now();
        let stale = self.state_parts.as_ref().is_none_or(|(whole, _, used)| {
            *whole <= want.next || now.saturating_duration_since(*used) > BULK_TIME
        });
        if stale {
            let mut state = WireInForce::from(self.state.as_ref());
            state.outcomes.clear();
            let bulk = FullState { state, instances: self.instance_table.entries() };
            let text = serde_json::to_string(&bulk).ok()?;
            self.state_parts = Some((self.state.next, cut(&text, PART_BYTES), now));
        }
        let (whole, parts, used) = self.state_parts.as_mut()?;
        *used = now;
        let part = if want.whole == *whole { want.part } else { 0 };
        let text = parts.get(part)?.clone();
        Some(StatePart { whole: *whole, part, parts: parts.len(), text })
    }

    /// Adds a part of the whole state, and takes it when it is complete.
    pub(super) fn gather(&mut self, peer: &str, part: StatePart) {
        let Some(pull) = &mut self.pull else {
            return;
        };
        let (whole, texts) = pull.whole.get_or_insert_default();
        if *whole != part.whole {
            *whole = part.whole;
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
        pull.whole = None;
        let Ok(bulk) = serde_json::from_str::<FullState>(&text) else {
            return;
        };
        for it in bulk.instances {
            self.instance_table.merge(it);
        }
        if let Ok(state) = InForce::try_from(bulk.state)
            && self.adopt(state, Code::StateFromPeer, &format!(" of {peer}"))
        {
            self.spread();
        }
        self.publish();
    }

    /// The exchange that fetches what this router lacks.
    pub(super) fn pull_round(&mut self) -> Option<OutgoingExchange> {
        if self.pull.as_ref().is_some_and(|it| !it.busy && self.is_busy(&it.peer)) {
            self.pull = None;
        }
        let pull = self.pull.as_mut().filter(|it| !it.busy)?;
        pull.busy = true;
        let (whole, part) = pull.whole.as_ref().map_or((0, 0), |it| (it.0, it.1.len()));
        let (peer, addr) = (pull.peer.clone(), pull.addr);
        let mut message = self.compose(&peer, true);
        message.want = Some(StateRequest { next: self.state.next, whole, part });
        Some(OutgoingExchange { peer, addr, message, pull: true })
    }
}

/// Cuts `text` into pieces of about `bytes`, between characters.
fn cut(text: &str, bytes: usize) -> Vec<String> {
    let mut rest = text;
    let mut pieces = Vec::new();
    while !rest.is_empty() {
        let mut at = bytes.min(rest.len());
        while !rest.is_char_boundary(at) {
            at += 1;
        }
        let (piece, tail) = rest.split_at(at);
        pieces.push(piece.to_owned());
        rest = tail;
    }
    pieces
}
