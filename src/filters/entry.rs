//! Answers which addresses a caller should use.

use std::collections::HashMap;

use warp::reply::Response;

use crate::decide::{EntryRouter, chat_key, entry_order};
use crate::filters::answer::json;
use crate::filters::{Call, Reason, Refusal, Shared};
use crate::wire::{EntryAddress, EntryAnswer};

/// Answers `GET /v1/entry?org=&chat=`.
pub(crate) fn entry(shared: &Shared, call: &Call) -> Result<Response, Refusal> {
    let query: HashMap<String, String> = serde_urlencoded::from_str(&call.query).map_err(|e| {
        Refusal::not_run(Reason::BadRequest, format!("the query cannot be read: {e}"))
    })?;
    let value = |name: &str| query.get(name).map_or("", String::as_str);
    let key = chat_key(value("org"), value("chat"));
    let routers: Vec<EntryRouter<'_>> = call
        .view
        .routers
        .iter()
        .map(|it| EntryRouter { id: it.id, domain: &it.domain, leaving: it.leaving })
        .collect();
    let traffic = &shared.settings.traffic;
    let order = entry_order(&routers, key, traffic.entry_addresses);
    if order.is_empty() {
        return Err(Refusal::not_run(Reason::NotReady, "no router is known to be live"));
    }
    let addresses = order.into_iter().map(|i| {
        let it = &call.view.routers[i];
        EntryAddress { address: it.address, router: it.name.clone(), domain: it.domain.clone() }
    });
    let answer = EntryAnswer { addresses: addresses.collect(), ttl_s: traffic.entry_ttl.as_secs() };
    Ok(json(&answer))
}
