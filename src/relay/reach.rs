//! Whether this router reaches the backend servers of each service itself.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use slog::{info, warn};
use smallvec::SmallVec;

use crate::decide::{ServiceReach, hash_bytes};
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

    /// Hashes of the names of these services, as other routers are told.
    pub(crate) fn cut_off_hashes(&self) -> SmallVec<[u64; 2]> {
        self.cut_off_services().iter().map(|it| hash_bytes(it.as_bytes())).collect()
    }

    /// Records a new connection to a server of `service`.
    pub(crate) fn record_connected(&self, service: &str) {
        if !self.reaches.with(service, ServiceReach::default, ServiceReach::record_connected) {
            return;
        }
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

    /// Records that `server`, of `service`, could not be connected to.
    pub(crate) fn record_unconnected(&self, service: &str, server: &Server) {
        let count = self.of_service(service).len();
        let record = |it: &mut ServiceReach| it.record_unconnected(server.hash, count);
        if !self.reaches.with(service, ServiceReach::default, record) {
            return;
        }
        self.cut_services.fetch_add(1, Ordering::Relaxed);
        self.cut_off.notify_one();
        self.urgent_update.notify_one();
        let code = Code::CutOff;
        warn!(self.request_log.logger(), "{}", code.text();
            "event" => code.number(), "service" => service, "last" => &*server.id,
            "servers" => count, "forwarders" => self.forwarders.load().len());
    }

    /// Servers of `service` that take work.
    pub(crate) fn of_service(&self, service: &str) -> Arc<[Arc<Server>]> {
        self.servers.lock().unwrap().of_service(service).unwrap_or_default()
    }
}
