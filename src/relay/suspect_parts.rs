//! Refuses requests with parts in their prompts that crash backend servers.

use slog::{info, warn};

use crate::decide::{CutRun, PartChange, PartIds, PartNews, PartPolicy, RunProgress};
use crate::events::Code;
use crate::relay::part_trial::PartTrial;
use crate::relay::pending_request::PendingRequest;
use crate::relay::{Refusal, Relay};
use crate::servers::Server;

impl Relay {
    /// Refuses a request with a part in its prompt that crashes backend servers. A request
    /// whose part is blamed, but possibly innocent, runs as the only one with it.
    pub(crate) fn apply_part_policy(&self, pending: &mut PendingRequest) -> Result<(), Refusal> {
        // A trial that failed is over.
        pending.part_trial = None;
        let parts = shared_parts(pending);
        match self.parts.lock().unwrap().policy(&parts, self.clock.now()) {
            PartPolicy::Normal => Ok(()),
            PartPolicy::Trial(part) => {
                pending.part_trial = Some(PartTrial::new(&self.parts, part));
                Ok(())
            }
            PartPolicy::Reject(part) => {
                pending.trace.blamed_part = Some(part);
                Err(Refusal::PartCrashes)
            }
        }
    }

    /// The report on the run of a request that `server` cut off now.
    pub(crate) fn cut_run(
        &self,
        pending: &PendingRequest,
        server: &Server,
        progress: RunProgress,
    ) -> CutRun {
        CutRun {
            server: server.incarnation(),
            points: progress.points(),
            at: self.clock.now(),
            parts: shared_parts(pending),
        }
    }

    /// Records a run that was cut off by the crash of its server.
    pub(crate) fn record_cut_run(&self, run: CutRun) {
        let now = self.clock.now();
        let changes = self.parts.lock().unwrap().record_cut(run, now);
        self.log_part_changes(&changes);
        self.urgent_update.notify_one();
    }

    /// Records that a request was answered in full.
    pub(crate) fn record_answered_parts(&self, pending: &PendingRequest) {
        let parts = pending.meta.shared_parts().iter().map(|it| it.id);
        let changes = self.parts.lock().unwrap().record_answered(parts, self.clock.now());
        self.log_part_changes(&changes);
    }

    /// Merges what another router told of parts under suspicion.
    pub(crate) fn merge_part_news(&self, news: PartNews) {
        let changes = self.parts.lock().unwrap().merge(news, self.clock.now());
        self.log_part_changes(&changes);
    }

    /// Logs changes of blame, and tells them to other routers at once.
    fn log_part_changes(&self, changes: &[PartChange]) {
        let logger = self.request_log.logger();
        for it in changes {
            match it {
                PartChange::Blamed(part) => {
                    let code = Code::PartBlamed;
                    warn!(logger, "{}", code.text();
                        "event" => code.number(), "part" => format!("{part:x}"));
                }
                PartChange::Cleared(part) => {
                    let code = Code::PartCleared;
                    info!(logger, "{}", code.text();
                        "event" => code.number(), "part" => format!("{part:x}"));
                }
            }
        }
        if !changes.is_empty() {
            self.urgent_update.notify_one();
        }
    }
}

fn shared_parts(pending: &PendingRequest) -> PartIds {
    pending.meta.shared_parts().iter().map(|it| it.id).collect()
}
