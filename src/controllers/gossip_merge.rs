//! What a router takes in from the message of a peer.

use std::time::Duration;

use crate::controllers::Publisher;
use crate::controllers::pull::Pull;
use crate::controllers::ticket_tail::read_text;
use crate::events::Code;
use crate::fleet::CrashReport;
use crate::wire::{Gossip, WireInstanceEntry, WireMember};

impl Publisher {
    /// Takes in what a peer tells.
    pub(super) fn absorb(&mut self, mut message: Gossip) {
        let now = self.now();
        let from = self.state.next;
        let peer = message.from.name.clone();
        let rows = std::mem::take(&mut message.members);
        let joined = self.take_members(message.from.clone(), rows);
        let marks = std::mem::take(&mut message.marks);
        let marked = self.take_marks(&peer, marks, message.mark_set.take());
        let own = self.parts.marks.digest(now);
        self.marks_differ = message.marks_digest.is_some_and(|it| it != own);
        let listed = self.take_lines(std::mem::take(&mut message.instances));
        for it in &message.crashes {
            self.parts.crashes.insert(CrashReport::from_wire(it, now), now);
        }
        let reported = self.take_engines(&message);
        let records = std::mem::take(&mut message.records);
        self.take_records(&peer, message.base_chain, records);
        self.compare_state(&peer, &message);
        if marked {
            self.spread_marks(false);
        }
        if joined {
            self.hurry();
        }
        let folded = self.state.next > from;
        if joined || marked || listed || reported || folded {
            self.publish();
        }
        if folded {
            self.spread_records(from);
        }
    }

    /// Takes rows about routers, the sender's own first; true when any is news.
    fn take_members(&mut self, from: WireMember, rows: Vec<WireMember>) -> bool {
        let now = self.now();
        let peer = from.name.clone();
        let before = self.members.own().incarnation;
        let mut news = self.members.merge(from, now);
        for it in rows {
            news |= self.members.merge(it, now);
        }
        if self.members.own().incarnation != before {
            self.record(Code::SuspicionRefuted, &self.parts.own.name, &format!("told by {peer}"));
        }
        news
    }

    /// Takes lines of the instance list; true when any is news.
    fn take_lines(&mut self, lines: Vec<WireInstanceEntry>) -> bool {
        let mut news = false;
        for it in lines {
            let name = it.name.clone();
            let standing = self.instance_table.get(&name).map(|it| it.standing);
            if self.instance_table.merge(it) {
                self.note_line(&name, standing);
                news = true;
            }
        }
        news
    }

    /// Takes loads of engines and what these hold; true when any is news.
    fn take_engines(&mut self, message: &Gossip) -> bool {
        let mut news = false;
        for it in &message.loads {
            news |= self.loads.merge(it);
        }
        for it in &message.loaded_models {
            news |= self.loaded_models.merge(it);
        }
        self.models_differ =
            message.loaded_digest.is_some_and(|it| it != self.loaded_models.digest());
        news
    }

    /// Folds records told by `peer`, unless they go on from another history.
    fn take_records(&mut self, peer: &str, base: Option<u64>, records: Vec<(u64, String)>) {
        let first = records.first().map(|it| it.0);
        if first == Some(self.state.next) && base.is_some_and(|it| it != self.state.chain) {
            self.record(Code::StateDiffers, peer, &format!("before offset {}", self.state.next));
            return;
        }
        for (offset, text) in records {
            let ticket = read_text(&text);
            self.fold(offset, &text, ticket);
        }
    }

    /// Notes how far `peer` is. Says so when it folded other records up to the same
    /// offset, and fetches what it is ahead by.
    fn compare_state(&mut self, peer: &str, message: &Gossip) {
        if let Some(age) = message.log_age {
            let seen = self.now().checked_sub(Duration::from_millis(age));
            self.log_seen = self.log_seen.max(seen);
        }
        let first = self.peer_offsets.get(peer) != Some(&message.next);
        if first && message.next == self.state.next && message.chain != self.state.chain {
            self.record(Code::StateDiffers, peer, &format!("offset {}", message.next));
        }
        self.peer_offsets.insert(peer.to_owned(), message.next);
        if message.next > self.state.next && self.pull.is_none() {
            let addr = message.from.control;
            self.pull = Some(Pull { peer: peer.to_owned(), addr, busy: false, whole: None });
            self.wake_gossip.notify_one();
        }
    }
}
