//! Health checks of restarted backend servers whose former incarnation stated its condition.
//!
//! A server that restarts under its id may state that it leaves, or that it wants time, before
//! this router has read its new record. The statement is then kept for the former incarnation.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use slog::info;
use tokio::time::{sleep, timeout};

use crate::events::Code;
use crate::relay::exchange::read_head;
use crate::relay::{Connection, OutgoingMeta, Relay, ServerStatements};
use crate::servers::Server;

/// Limit on one health check.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Pause after a health check without an answer.
const CHECK_PAUSE: Duration = Duration::from_millis(500);
/// Limit on the health checks; a server that answered none is then treated as any other.
const MAX_CHECKS: usize = 6;
/// Stands for the id of a request in log lines.
const HEALTH_CHECK: &str = "health_check";

/// Asks `server` of `service` for its condition until it answers, and then lets it get requests.
pub(crate) async fn confirm_server(relay: Arc<Relay>, server: Arc<Server>, service: String) {
    let rules = relay.rules.load();
    let path = rules.and_then(|it| it.service(&service)?.health.clone());
    let uri = path.and_then(|it| it.parse::<Uri>().ok());
    let mut is_answered = false;
    for _ in 0..MAX_CHECKS {
        while !server.is_leaving() && !relay.may_check(&server, &service) {
            sleep(CHECK_PAUSE).await;
        }
        let Some(uri) = uri.as_ref().filter(|_| !server.is_leaving()) else {
            break;
        };
        let check = relay.check_health(&server, uri);
        if let Some(stated) = timeout(CHECK_TIMEOUT, check).await.ok().flatten() {
            relay.record_statements(&service, &server, stated, HEALTH_CHECK);
            is_answered = true;
            break;
        }
        sleep(CHECK_PAUSE).await;
    }
    server.confirm();
    let code = Code::ServerConfirmed;
    info!(relay.request_log.logger(), "{}", code.text(); "event" => code.number(),
        "server" => &*server.id, "answered" => is_answered, "leaves" => server.is_leaving());
}

impl Relay {
    /// Whether a health check may be sent to `server` now; it counts as a request.
    fn may_check(&self, server: &Server, service: &str) -> bool {
        let cold = self.cold_terms(service);
        !self.is_evacuated(server) && server.take_cold_allowance(&cold, self.clock.now())
    }

    /// What `server` states of itself in the answer to a health check; `None` without an answer.
    async fn check_health(&self, server: &Server, uri: &Uri) -> Option<ServerStatements> {
        let mut connection = Connection::open(server.address, self.clock.now()).await.ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = uri.clone();
        *request.headers_mut() = self.check_headers(server)?;
        let (parts, _) = connection.send(request).await.ok()?.into_parts();
        // Another server has the address.
        if parts.status == StatusCode::MISDIRECTED_REQUEST {
            return None;
        }
        Some(read_head(&parts, self.codec.answer).stated.of_refusal())
    }

    fn check_headers(&self, server: &Server) -> Option<HeaderMap> {
        let mut headers = HeaderMap::new();
        headers.insert(HOST, HeaderValue::from_str(&server.address.to_string()).ok()?);
        let outgoing = OutgoingMeta {
            server: &server.id,
            organisation: None,
            remaining: CHECK_TIMEOUT,
            priority: 0,
            source: None,
            last_event: None,
        };
        (self.codec.outgoing)(&mut headers, &outgoing);
        Some(headers)
    }
}
