//! The operator's configuration of a small deployment.

use crate::store::Store;

/// Puts version 1 of the configuration, with one tenant, into force.
pub fn put_config(store: &Store) {
    let route =
        |name: &str, kind: &str, timeout: u32, objective: u32, attempts: u32, resume: bool| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"calls.example\",\"pathPrefix\":\"/{name}/\",\
             \"routeType\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":{objective},\
             \"priority\":1,\"service\":\"pool\",\"maxAttempts\":{attempts},\"public\":false,\
             \"sessionAffinity\":{resume},\"streamResume\":{resume},\"gapAimMs\":300}}"
            )
        };
    let routes = [
        route("stream", "streaming", 12_000, 600, 2, true),
        route("read", "idempotent", 4_000, 300, 2, false),
        route("fetch", "idempotent", 12_000, 600, 2, false),
        route("once", "non_idempotent", 4_000, 300, 1, false),
    ];
    let config = format!(
        "{{\"version\":1,\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"org-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}}]}}",
        routes.join(",")
    );
    store.put("keyed.op", "config", &config);
}
