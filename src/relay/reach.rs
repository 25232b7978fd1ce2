//! Whether this router reaches the backend servers of each service itself.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use slog::{info, warn};
use smallvec::SmallVec;

use crate::decide::{ReachState, ServiceReach, hash_bytes};
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
        let was_cut_off = self.is_cut_off(service);
        let change = self.reaches.with(service, ServiceReach::default, |it| it.record_connected());
        if change.is_some() && was_cut_off {
            self.end_cut_off(service);
        }
        if change.is_some() {
            self.reach_known.notify_waiters();
        }
    }

    /// Records that `server`, of `service`, could not be connected to.
    pub(crate) fn record_unconnected(&self, service: &str, server: &Server) {
        let count = self.of_service(service).len();
        let record = |it: &mut ServiceReach| it.record_unconnected(server.hash, count);
        match self.reaches.with(service, ServiceReach::default, record) {
            Some(ReachState::CutOff) => self.begin_cut_off(service),
            Some(ReachState::Suspected) => self.probe_now.notify_one(),
            Some(ReachState::Reached) | None => {}
        }
    }

    /// Records that `reached` of `probed` servers of `service` could be connected to.
    pub(crate) fn record_probes(&self, service: &str, reached: usize, probed: usize) {
        let was_cut_off = self.is_cut_off(service);
        let record = |it: &mut ServiceReach| it.record_probes(reached, probed);
        match self.reaches.with(service, ServiceReach::default, record) {
            Some(ReachState::CutOff) => self.begin_cut_off(service),
            Some(ReachState::Reached) if was_cut_off => self.end_cut_off(service),
            Some(ReachState::Reached) => {
                let code = Code::CutOffDismissed;
                info!(self.request_log.logger(), "{}", code.text();
                    "event" => code.number(), "service" => service, "reached" => reached,
                    "probed" => probed);
            }
            Some(ReachState::Suspected) | None => {}
        }
        self.reach_known.notify_waiters();
    }

    /// Waits until it is known whether this router is cut off from the servers of `service`.
    pub(crate) async fn until_reach_known(&self, service: &str) {
        loop {
            let mut known = pin!(self.reach_known.notified());
            known.as_mut().enable();
            let state = self.reaches.with(service, ServiceReach::default, |it| it.state());
            if state != ReachState::Suspected {
                return;
            }
            known.await;
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
