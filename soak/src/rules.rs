//! The configuration that routers get.

use serde_json::{Value, json};

/// Host of all routes.
pub const HOST: &str = "calls.example";
/// Service of all routes.
pub const SERVICE: &str = "pool";

/// A configuration with one route of each kind, and one organisation with `keys`.
pub fn rules(version: u64, keys: &[String]) -> Value {
    let route = |prefix: &str, kind: &str, attempts: u32, resume: bool| {
        json!({
            "name": prefix, "host": HOST, "pathPrefix": prefix, "routeType": kind,
            "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1, "service": SERVICE,
            "maxAttempts": attempts, "public": false, "streamResume": resume, "gapAimMs": 300,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("/read/", "idempotent", 2, false),
            route("/once/", "non_idempotent", 1, false),
            route("/stream/", "streaming", 1, false),
            route("/restream/", "streaming", 2, true),
        ],
        "services": [{ "name": SERVICE, "healthPath": "/healthz", "maxConnections": 100 }],
        "limits": { "maxHeaderBytes": 16384, "maxBodyBytes": 65536,
            "headerTimeoutMs": 3000, "idleTimeoutMs": 15000 },
        "tenants": [{ "name": "org-1", "apiKeys": keys, "priority": 3 }],
    })
}
