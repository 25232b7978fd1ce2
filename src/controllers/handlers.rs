//! Messages of readers and watches that the [`Publisher`] handles.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, UNIX_EPOCH};

use xtra::prelude::*;

use crate::controllers::Publisher;
use crate::controllers::messages::{
    BeginLeaving, Flush, ListRead, LoadReported, LoadTargets, RecordsRead, SnapshotRead, TailPlan,
    TailQuery,
};
use crate::controllers::publisher::{FOLLOWER_KEY, LOG_FOLLOWERS};
use crate::decide::hash_bytes;
use crate::events::Code;
use crate::wire::{InstanceState, Role};

/// Time without contact of any router with the log, beyond the wait of one read, after
/// which every router follows the log itself.
const MAX_LOG_SILENCE: Duration = Duration::from_secs(15);

impl Handler<RecordsRead> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: RecordsRead, _: &mut Context<Self>) {
        self.log_seen = Some(self.now());
        let from = self.state.next;
        for it in message.records {
            self.fold(it.offset, &it.text, it.ticket);
        }
        if self.state.next > from {
            self.publish();
            self.spread_records(from);
        }
    }
}

impl Handler<SnapshotRead> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: SnapshotRead, _: &mut Context<Self>) {
        if self.adopt(message.state, Code::StateFromSnapshot, "") {
            self.publish();
        }
    }
}

impl Handler<ListRead> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: ListRead, _: &mut Context<Self>) {
        let before: HashMap<String, InstanceState> =
            self.instance_table.instances().map(|it| (it.name.clone(), it.standing)).collect();
        let changed = self.instance_table.update(message.instances);
        for name in &changed {
            self.record_entry_change(name, before.get(name).copied());
        }
        if changed.is_empty() {
            return;
        }
        let known: Vec<u64> =
            self.instance_table.instances().map(|it| hash_bytes(it.name.as_bytes())).collect();
        self.loads.retain(|id| known.contains(&id));
        self.loaded_models.retain(|id| known.contains(&id));
        let instance_table = &self.instance_table;
        self.sent_tokens.retain(|name, _| instance_table.get(name).is_some());
        self.publish();
        self.request_exchange();
    }
}

impl Handler<LoadReported> for Publisher {
    type Return = ();

    async fn handle(&mut self, message: LoadReported, ctx: &mut Context<Self>) {
        let wall = self.parts.clock.wall().duration_since(UNIX_EPOCH).unwrap_or_default();
        let id = hash_bytes(message.name.as_bytes());
        let at_ms = wall.as_millis() as u64;
        if self.loaded_models.record_report(id, &message.report, at_ms) {
            self.request_exchange();
        }
        self.loads.record_report(id, message.report, at_ms);
        self.publish_soon(ctx);
    }
}

impl Handler<Flush> for Publisher {
    type Return = ();

    async fn handle(&mut self, _: Flush, _: &mut Context<Self>) {
        self.flush_pending = false;
        self.publish();
    }
}

impl Handler<BeginLeaving> for Publisher {
    type Return = ();

    async fn handle(&mut self, _: BeginLeaving, _: &mut Context<Self>) {
        self.members.leave();
        self.publish();
        self.request_urgent_exchanges();
    }
}

impl Handler<TailQuery> for Publisher {
    type Return = TailPlan;

    async fn handle(&mut self, _: TailQuery, _: &mut Context<Self>) -> TailPlan {
        let rank = self.own_rank(hash_bytes(FOLLOWER_KEY));
        let silence = self.parts.settings.log_wait + MAX_LOG_SILENCE;
        let now = self.now();
        let quiet = self.log_seen.is_none_or(|it| now.saturating_duration_since(it) > silence);
        TailPlan { follow: rank < LOG_FOLLOWERS || quiet, rank, state: Arc::clone(&self.state) }
    }
}

impl Handler<LoadTargets> for Publisher {
    type Return = Vec<(String, SocketAddr)>;

    async fn handle(&mut self, _: LoadTargets, _: &mut Context<Self>) -> Self::Return {
        let engines = self.instance_table.instances().filter(|it| it.role == Role::Engine);
        let own = engines.filter(|it| self.own_rank(hash_bytes(it.name.as_bytes())) == 0);
        own.map(|it| (it.name.clone(), it.address)).collect()
    }
}
