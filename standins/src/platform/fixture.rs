//! Records and settings of a small deployment, as the operator, the platform and
//! backend servers write them.

use std::net::SocketAddr;

use serde_json::{Value, json};

/// Host of all routes.
pub const HOST: &str = "calls.example";
/// Service of all routes.
pub const SERVICE: &str = "pool";

/// A configuration with a route of each kind, and one organisation with the API keys `keys`.
pub fn rules(version: u64, keys: &[impl AsRef<str>]) -> Value {
    let route = |prefix: &str, kind: &str, attempts: u32, resume: bool| {
        json!({
            "name": prefix, "host": HOST, "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1, "service": SERVICE,
            "maxAttempts": attempts, "public": false, "streamResume": resume, "gapAimMs": 300,
        })
    };
    let keys: Vec<&str> = keys.iter().map(AsRef::as_ref).collect();
    json!({
        "version": version,
        "routes": [
            route("/read/", "idempotent", 2, false),
            route("/once/", "non_idempotent", 1, false),
            route("/once2/", "non_idempotent", 2, false),
            route("/stream/", "streaming", 1, false),
            route("/restream/", "streaming", 2, true),
        ],
        "services": [{ "name": SERVICE, "healthPath": "/healthz", "maxConnections": 100 }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "org-1", "apiKeys": keys, "priority": 3 }],
    })
}

/// Record of a backend server in `state`.
pub fn server_record(address: SocketAddr, state: &str, sequence: u64) -> Value {
    json!({
        "service": SERVICE, "address": address, "zone": "a", "version": "v1", "slots": 16,
        "state": state, "coldRemainingMs": 0, "sequence": sequence, "born": 7,
    })
}

/// Settings of a router as the platform writes them, with free ports.
pub fn settings(name: &str, store: SocketAddr) -> String {
    format!(
        "nodeName={name}\nip=127.0.0.1\nzone=a\nregion=r\nlistenAddrs.frontend=127.0.0.1:0\n\
         listenAddrs.ready=127.0.0.1:0\nlistenAddrs.directory=127.0.0.1:0\ninternalPorts=0,0\n\
         bounds.graceS=8\nbounds.revokeMs=5000\nbounds.strictRevocation=true\n\
         bounds.configApplyMs=2000\nbounds.capX=2\nbounds.retryBudgetRatio=0.2\n\
         bounds.budgetWindowS=10\nbounds.retrySlack=58\nbounds.ttl_max_s=5\nnew.field=1\n\
         provider.address={store}\n"
    )
}
