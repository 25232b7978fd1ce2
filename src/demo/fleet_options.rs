//! Size and properties of a fleet.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use standins::engine::Options;

use crate::settings::{DEFAULT_TEXT, Settings, parse};

/// Any free port on loopback.
pub(crate) const LOOPBACK: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Size and properties of a fleet.
#[derive(Debug, Clone)]
pub struct FleetOptions {
    /// Number of routers.
    pub routers: usize,
    /// Number of engines of the pool `assistant-llm`.
    pub engines: usize,
    /// Number of engines of the pool `canary-llm`.
    pub canaries: usize,
    /// Number of instances of the pool `stockroom-app`.
    pub services: usize,
    /// Whether these check idempotency keys themselves.
    pub checks_keys: bool,
    /// Properties of each engine.
    pub engine: Options,
    /// How long the log keeps records.
    pub retention: Duration,
    /// Appends a second that the log accepts.
    pub append_rate: u32,
    /// Address of the log service.
    pub log: SocketAddr,
    /// Address of the instance list.
    pub list: SocketAddr,
    /// Settings of each router; names and addresses are replaced.
    pub settings: Settings,
}

impl Default for FleetOptions {
    fn default() -> FleetOptions {
        let mut settings =
            parse("default.jsonc", DEFAULT_TEXT).expect("the default settings are valid");
        settings.listen = LOOPBACK;
        settings.control = LOOPBACK;
        FleetOptions {
            routers: 4,
            engines: 12,
            canaries: 3,
            services: 1,
            checks_keys: false,
            engine: Options::default(),
            retention: Duration::from_secs(3_600),
            append_rate: 300,
            log: LOOPBACK,
            list: LOOPBACK,
            settings,
        }
    }
}
