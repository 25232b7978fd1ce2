//! The operator's configuration of a small deployment.

use crate::store::Store;

/// A version of the configuration.
pub struct Config {
    pub version: u32,
    /// Routes that nobody uses.
    pub more_routes: usize,
    /// Keys of the second tenant.
    pub second_keys: &'static str,
}

/// Puts version 1 of the configuration into force.
pub fn put_config(store: &Store) {
    put_version(store, &Config { version: 1, more_routes: 0, second_keys: "" });
}

/// Puts a version into force; returns the length of its record.
pub fn put_version(store: &Store, config: &Config) -> usize {
    let route =
        |name: &str, kind: &str, timeout: u32, objective: u32, attempts: u32, resume: bool| {
            format!(
                "{{\"name\":\"{name}\",\"host\":\"calls.example\",\"pathPrefix\":\"/{name}/\",\
             \"routeType\":\"{kind}\",\"timeoutMs\":{timeout},\"targetLatencyMs\":{objective},\
             \"priority\":1,\"service\":\"pool\",\"maxAttempts\":{attempts},\"public\":false,\
             \"sessionAffinity\":{resume},\"streamResume\":{resume},\"gapAimMs\":300}}"
            )
        };
    let mut routes = vec![
        route("stream", "streaming", 12_000, 600, 2, true),
        route("read", "idempotent", 4_000, 300, 2, false),
        route("fetch", "idempotent", 12_000, 600, 2, false),
        route("once", "non_idempotent", 4_000, 300, 1, false),
    ];
    let more = 0..config.more_routes;
    routes.extend(more.map(|it| route(&format!("more-{it}"), "idempotent", 4_000, 300, 2, false)));
    let Config { version, second_keys, .. } = config;
    let text = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\
         \"healthPath\":\"/healthz\",\"maxConnections\":370,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"org-1\",\"apiKeys\":[\"key-1\"],\"priority\":1}},\
         {{\"name\":\"org-2\",\"apiKeys\":[{second_keys}],\"priority\":1}}]}}",
        routes.join(",")
    );
    store.put("keyed.op", "config", &text);
    text.len()
}
