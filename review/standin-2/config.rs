//! The operator's configuration.

use crate::client::{HOST, KEY};

/// A route of a service.
pub struct Route<'a> {
    pub prefix: &'a str,
    pub kind: &'a str,
    pub service: &'a str,
    pub attempts: u32,
    pub resume: bool,
}

/// Encodes a configuration in which all routes need a key.
pub fn encode_config(version: u64, routes: &[Route<'_>], services: &[&str]) -> Vec<u8> {
    let routes: Vec<String> = routes
        .iter()
        .map(|it| {
            let Route { prefix, kind, service, attempts, resume } = it;
            format!(
                "{{\"name\":\"{prefix}\",\"host\":\"{HOST}\",\"pathPrefix\":\"{prefix}\",\
                 \"routeType\":\"{kind}\",\"timeoutMs\":10000,\"targetLatencyMs\":300,\
                 \"priority\":1,\"service\":\"{service}\",\"maxAttempts\":{attempts},\
                 \"public\":false,\"streamResume\":{resume},\"gapAimMs\":300}}"
            )
        })
        .collect();
    let services: Vec<String> = services
        .iter()
        .map(|it| {
            format!("{{\"name\":\"{it}\",\"healthPath\":\"/healthz\",\"maxConnections\":370}}")
        })
        .collect();
    let (routes, services) = (routes.join(","), services.join(","));
    format!(
        "{{\"version\":{version},\"routes\":[{routes}],\"services\":[{services}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\
         \"headerTimeoutMs\":5000,\"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"tenant-one\",\"apiKeys\":[\"{KEY}\"]}}]}}"
    )
    .into_bytes()
}

/// The configuration without the keys of its tenant.
pub fn without_keys(config: Vec<u8>) -> Vec<u8> {
    let text = String::from_utf8(config).expect("a configuration is text");
    text.replace(&format!("\"{KEY}\""), "").into_bytes()
}
