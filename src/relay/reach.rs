//! Whether this router reaches the backend servers of each service itself.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use slog::{info, warn};
use smallvec::SmallVec;
use tokio::time::timeout_at;

use crate::decide::{ReachChange, ReachState, ServiceReach, hash_bytes};
use crate::events::Code;
use crate::relay::Relay;
use crate::servers::Server;

impl Relay {
    /// Whether this router is cut off from all servers of `service`.
    pub(crate) fn is_cut_off(&self, service: &str) -> bool {
        let is_any = self.cut_services.load(Ordering::Relaxed) > 0;
        is_any && self.reaches.with(service, ServiceReach::default, |it| it.is_cut_off())
    }

    /// The services from whose servers this router is cut off.
    pub(crate) fn cut_off_services(&self) -> Vec<String> {
        if self.cut_services.load(Ordering::Relaxed) == 0 {
            return Vec::new();
        }
        self.reaches.names(ServiceReach::is_cut_off)
    }

    /// The services whose servers are to be probed.
    pub(crate) fn probed_services(&self) -> Vec<String> {
        self.reaches.names(ServiceReach::needs_probe)
    }

    /// Hashes of the names of the services from whose servers this router is cut off, as other routers are told.
    pub(crate) fn cut_off_hashes(&self) -> SmallVec<[u64; 2]> {
        self.cut_off_services().iter().map(|it| hash_bytes(it.as_bytes())).collect()
    }

    /// Records a new connection to a server of `service`.
    pub(crate) fn record_connected(&self, service: &str) {
        let change = self.reaches.with(service, ServiceReach::default, |it| it.record_connected());
        self.follow_reach(service, change);
    }

    /// Records that `server`, of `service`, could not be connected to.
    pub(crate) fn record_unconnected(&self, service: &str, server: &Server) {
        let count = self.of_service(service).len();
        let record = |it: &mut ServiceReach| it.record_unconnected(server.hash, count);
        let change = self.reaches.with(service, ServiceReach::default, record);
        self.follow_reach(service, change);
    }

    /// Records that `reached` of `probed` servers of `service` could be connected to.
    pub(crate) fn record_probes(&self, service: &str, reached: usize, probed: usize) {
        let record = |it: &mut ServiceReach| it.record_probes(reached, probed);
        let change = self.reaches.with(service, ServiceReach::default, record);
        let dismissed = ReachChange { from: ReachState::Suspected, to: ReachState::Reached };
        if change == Some(dismissed) {
            let code = Code::CutOffDismissed;
            info!(self.request_log.logger(), "{}", code.text();
                "event" => code.number(), "service" => service, "reached" => reached,
                "probed" => probed);
        }
        self.follow_reach(service, change);
    }

    fn follow_reach(&self, service: &str, change: Option<ReachChange>) {
        let Some(ReachChange { from, to }) = change else {
            return;
        };
        if from == ReachState::CutOff {
            self.end_cut_off(service);
        }
        match to {
            ReachState::CutOff => self.begin_cut_off(service),
            ReachState::Suspected => self.probe_now.notify_one(),
            ReachState::Reached => {}
        }
        self.reach_known.notify_waiters();
    }

    /// Waits until it is known whether this router is cut off from the servers of `service`, until
    /// `deadline` at the latest.
    pub(crate) async fn until_reach_known(&self, service: &str, deadline: Instant) {
        loop {
            let mut known = pin!(self.reach_known.notified());
            known.as_mut().enable();
            let state = self.reaches.with(service, ServiceReach::default, |it| it.state());
            if state != ReachState::Suspected {
                return;
            }
            if timeout_at(deadline.into(), known).await.is_err() {
                return;
            }
        }
    }

    fn begin_cut_off(&self, service: &str) {
        self.cut_services.fetch_add(1, Ordering::Relaxed);
        self.probe_now.notify_one();
        self.urgent_update.notify_one();
        let code = Code::CutOff;
        warn!(self.request_log.logger(), "{}", code.text();
            "event" => code.number(), "service" => service,
            "servers" => self.of_service(service).len(),
            "forwarders" => self.forwarders.load().len());
    }

    fn end_cut_off(&self, service: &str) {
        self.cut_services.fetch_sub(1, Ordering::Relaxed);
        self.urgent_update.notify_one();
        let code = Code::CutOffEnded;
        info!(self.request_log.logger(), "{}", code.text();
            "event" => code.number(), "service" => service);
        // Their pauses are from the time when this router was cut off.
        for it in self.of_service(service).iter() {
            it.record_reached();
        }
    }

    /// Servers of `service` that take work.
    pub(crate) fn of_service(&self, service: &str) -> Arc<[Arc<Server>]> {
        self.servers.lock().unwrap().of_service(service).unwrap_or_default()
    }
}
