//! What routers tell each other of tokens at backend servers.

use std::sync::Arc;
use std::time::Instant;

use prometheus::{IntGaugeVec, Opts, Registry};
use slog::warn;

use crate::decide::{RequestTokens, TokenPlace};
use crate::events::Code;
use crate::peers::PeerTable;
use crate::router::{Router, Store};
use crate::servers::Server;
use crate::wire::unpack_tokens;

/// The gauge of tokens at the servers of each service, by service and kind.
///
/// # Errors
/// Fails when a metric of the same name is registered already.
pub(crate) fn token_gauge(registry: &Registry) -> Result<IntGaugeVec, prometheus::Error> {
    let help =
        "Tokens at the backend servers of a service: unread or held, at all or at most at one";
    let opts = Opts::new("filberttiller_relay_tokens", help);
    let gauge = IntGaugeVec::new(opts, &["service", "kind"])?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

impl<S: Store> Router<S> {
    /// Keeps the tokens that the router `sender` tells, which belong to its loads. What cannot be
    /// read counts as not told.
    pub(crate) fn merge_tokens(&self, peers: &mut PeerTable, sender: &str, bytes: &[u8]) {
        let tokens = unpack_tokens(bytes).unwrap_or_else(|| {
            if self.unreadable_tokens.is_first() {
                let code = Code::TokensUnreadable;
                warn!(self.logger, "{}", code.text(); "event" => code.number(), "peer" => sender);
            }
            Vec::new()
        });
        peers.set_tokens(sender, tokens);
    }

    /// Updates what is known of the other routers' tokens at the servers that have budgets, and
    /// the metrics.
    pub(crate) fn update_tokens(&self, peers: &PeerTable, now: Instant) {
        let services = self.relay.engine_services();
        if services.is_empty() {
            return;
        }
        let mut told = peers.tokens(now);
        for service in services {
            let servers = self.relay.of_service(&service);
            for it in servers.iter() {
                let others = told.servers.remove(&(it.hash as u32)).unwrap_or_default();
                it.tokens.set_others(others, told.at);
            }
            self.record_tokens(&service, &servers, now);
        }
    }

    fn record_tokens(&self, service: &str, servers: &[Arc<Server>], now: Instant) {
        let set = |kind: &str, value: u64| {
            let value = i64::try_from(value).unwrap_or(i64::MAX);
            self.token_gauge.with_label_values(&[service, kind]).set(value);
        };
        let nothing = RequestTokens::default();
        let place = |it: &Arc<Server>| it.tokens.place(&nothing, None, now);
        let places: Vec<TokenPlace> = servers.iter().map(place).collect();
        set("unread", places.iter().map(|it| it.ahead).sum());
        set("held", places.iter().map(|it| it.held).sum());
        set("most_unread", places.iter().map(|it| it.ahead).max().unwrap_or(0));
        set("most_held", places.iter().map(|it| it.held).max().unwrap_or(0));
    }
}
