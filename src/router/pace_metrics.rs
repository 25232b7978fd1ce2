//! The pace of backend servers as metrics.

use prometheus::{GaugeVec, Opts, Registry};

use crate::relay::Relay;

/// Limit on the servers that are shown.
const MAX_SERVERS: usize = 32;

/// Shows the servers whose pace differs most from the usual.
#[derive(Debug)]
pub(crate) struct PaceMetrics {
    paces: GaugeVec,
}

impl PaceMetrics {
    /// Registers the metrics with `registry`.
    ///
    /// # Errors
    /// Fails when a metric of the same name is registered already.
    pub fn new(registry: &Registry) -> Result<PaceMetrics, prometheus::Error> {
        let help = "Time that work takes at a backend server, as a multiple of the usual";
        let opts = Opts::new("filberttiller_relay_server_pace", help);
        let paces = GaugeVec::new(opts, &["server"])?;
        registry.register(Box::new(paces.clone()))?;
        Ok(PaceMetrics { paces })
    }

    /// Brings the metrics up to date.
    pub fn update(&self, relay: &Relay) {
        let servers = relay.servers.lock().unwrap();
        let known = servers.all().filter(|it| it.pace.own_report().is_some());
        let mut known: Vec<_> = known.map(|it| (it.pace.factor(), it.id.clone())).collect();
        drop(servers);
        known.sort_unstable_by(|a, b| b.0.ln().abs().total_cmp(&a.0.ln().abs()));
        self.paces.reset();
        for (factor, id) in known.into_iter().take(MAX_SERVERS) {
            self.paces.with_label_values(&[&*id]).set(factor);
        }
    }
}
