//! Metrics computed from the state of a router at each scrape.

use std::time::Instant;

use prometheus::{Gauge, IntGauge, Registry};

use crate::relay::Relay;

/// Evacuated and cold backend servers.
#[derive(Debug)]
pub(crate) struct RouterGauges {
    evacuated_domains: IntGauge,
    evacuated_servers: IntGauge,
    cold_servers: IntGauge,
    cold_allowance: Gauge,
}

impl RouterGauges {
    /// Gauges that are registered with `registry`.
    ///
    /// # Errors
    /// Fails when a metric of the same name is registered already.
    pub fn new(registry: &Registry) -> Result<RouterGauges, prometheus::Error> {
        let gauge = |name: &str, help: &str| {
            let it = IntGauge::new(name, help)?;
            registry.register(Box::new(it.clone()))?;
            Ok::<_, prometheus::Error>(it)
        };
        let help = "Requests a second that this router may send to cold backend servers";
        let cold_allowance = Gauge::new("filberttiller_cold_allowance", help)?;
        registry.register(Box::new(cold_allowance.clone()))?;
        Ok(RouterGauges {
            evacuated_domains: gauge(
                "filberttiller_evacuated_domains",
                "Evacuated failure domains",
            )?,
            evacuated_servers: gauge(
                "filberttiller_evacuated_servers",
                "Backend servers in evacuated failure domains",
            )?,
            cold_servers: gauge(
                "filberttiller_cold_servers",
                "Cold backend servers of services that limit what these get",
            )?,
            cold_allowance,
        })
    }

    /// Sets them to the state of `relay`.
    pub fn update(&self, relay: &Relay, now: Instant) {
        self.evacuated_domains.set(relay.evacuations.lock().unwrap().domains().len() as i64);
        let servers = relay.servers.lock().unwrap();
        self.evacuated_servers.set(servers.evacuated_count() as i64);
        let shares = servers
            .by_service()
            .filter_map(|(service, it)| it.cold_share(&relay.cold_terms(service), now));
        let shares: Vec<f64> = shares.collect();
        self.cold_servers.set(shares.len() as i64);
        self.cold_allowance.set(shares.iter().sum());
    }
}
