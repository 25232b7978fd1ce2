//! Merges the message of a peer into this router's state.

use crate::controllers::Publisher;
use crate::controllers::pull::Pull;
use crate::controllers::ticket_tail::read_text;
use crate::events::Code;
use crate::fleet::CrashReport;
use crate::wire::{Gossip, WireInstanceEntry, WireMember, time_of_age};

impl Publisher {
    /// Merges `message`, then publishes the view and passes changes on as needed.
    pub(super) fn merge_message(&mut self, mut message: Gossip) {
        let now = self.now();
        let from = self.state.next;
        let peer = message.from.name.clone();
        let entries = std::mem::take(&mut message.members);
        let joined = self.merge_members(message.from.clone(), entries);
        let marks = std::mem::take(&mut message.marks);
        let marked = self.merge_marks(&peer, marks, message.mark_set.take());
        let own = self.parts.marks.digest(now);
        self.marks_differ = message.marks_digest.is_some_and(|it| it != own);
        let listed = self.merge_entries(std::mem::take(&mut message.instances));
        for it in &message.crashes {
            self.parts.crashes.insert(CrashReport::from_wire(it, now), now);
        }
        let reported = self.merge_engines(&message);
        let records = std::mem::take(&mut message.records);
        self.fold_records(&peer, message.base_chain, records);
        self.compare_state(&peer, &message);
        if marked {
            self.spread_marks(false);
        }
        if joined {
            self.request_exchange();
        }
        let folded = self.state.next > from;
        if joined || marked || listed || reported || folded {
            self.publish();
        }
        if folded {
            self.spread_records(from);
        }
    }

    /// Merges membership entries, the sender's own first; true when any changed
    /// something.
    fn merge_members(&mut self, from: WireMember, entries: Vec<WireMember>) -> bool {
        let now = self.now();
        let peer = from.name.clone();
        let before = self.members.own().incarnation;
        let mut changed = self.members.merge(from, now);
        for it in entries {
            changed |= self.members.merge(it, now);
        }
        if self.members.own().incarnation != before {
            self.record(
                Code::SuspicionRefuted,
                &self.parts.own.name,
                &format!("suspicion received from {peer}"),
            );
        }
        changed
    }

    /// Merges entries of the instance list; true when any changed something.
    fn merge_entries(&mut self, entries: Vec<WireInstanceEntry>) -> bool {
        let mut changed = false;
        for it in entries {
            let name = it.name.clone();
            let before = self.instance_table.get(&name).map(|it| it.standing);
            if self.instance_table.merge(it) {
                self.record_entry_change(&name, before);
                changed = true;
            }
        }
        changed
    }

    /// Merges loads of engines and the models that they hold; true when any changed
    /// something.
    fn merge_engines(&mut self, message: &Gossip) -> bool {
        let mut changed = false;
        for it in &message.loads {
            changed |= self.loads.merge(it);
        }
        for it in &message.loaded_models {
            changed |= self.loaded_models.merge(it);
        }
        self.models_differ =
            message.loaded_digest.is_some_and(|it| it != self.loaded_models.digest());
        changed
    }

    /// Folds records received from `peer`, unless they continue another history.
    fn fold_records(&mut self, peer: &str, base: Option<u64>, records: Vec<(u64, String)>) {
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

    /// Records the offset that `peer` has reached. Reports it once when the peer folded
    /// other records up to the same offset, and starts to fetch what it is ahead by.
    fn compare_state(&mut self, peer: &str, message: &Gossip) {
        if let Some(age) = message.log_age {
            let seen = time_of_age(age, self.now());
            self.log_seen = self.log_seen.max(seen);
        }
        let is_new = self.peer_offsets.get(peer) != Some(&message.next);
        if is_new && message.next == self.state.next && message.chain != self.state.chain {
            self.record(Code::StateDiffers, peer, &format!("offset {}", message.next));
        }
        self.peer_offsets.insert(peer.to_owned(), message.next);
        if message.next > self.state.next && self.pull.is_none() {
            let addr = message.from.control;
            self.pull =
                Some(Pull { peer: peer.to_owned(), addr, busy: false, received_parts: None });
            self.wake_gossip.notify_one();
        }
    }
}
