//! Entry queries: which router addresses a caller should use.

use std::collections::HashMap;

use warp::reply::Response;

use crate::decide::{EntryQuery, chat_key, entry_order, hash_bytes};
use crate::filters::admit::entry_routers;
use crate::filters::answer::json;
use crate::filters::trace::record_entry_answer;
use crate::filters::{Call, Reason, Refusal, Shared};
use crate::wire::{EntryAddress, EntryAnswer};

/// Answers `GET /v1/entry?org=&chat=`.
pub(crate) fn entry(shared: &Shared, call: &Call) -> Result<Response, Refusal> {
    let query: HashMap<String, String> = serde_urlencoded::from_str(&call.query).map_err(|e| {
        Refusal::not_run(Reason::BadRequest, format!("the query is malformed: {e}"))
    })?;
    let value = |name: &str| query.get(name).map_or("", String::as_str);
    let organisation = value("org");
    let traffic = &shared.settings.traffic;
    let entry_query = EntryQuery {
        organisation: hash_bytes(organisation.as_bytes()),
        chat: chat_key(organisation, value("chat")),
        rate: call.view.state.organisation(organisation).and_then(|it| it.rate),
        max_addresses: traffic.entry_addresses,
    };
    let order = entry_order(&entry_routers(&call.view), &entry_query);
    if order.is_empty() {
        return Err(Refusal::not_run(Reason::NotReady, "no router is known to be live"));
    }
    let addresses = order.into_iter().map(|i| {
        let it = &call.view.routers[i];
        EntryAddress { address: it.address, router: it.name.clone(), domain: it.domain.clone() }
    });
    let answer = EntryAnswer { addresses: addresses.collect(), ttl_s: traffic.entry_ttl.as_secs() };
    record_entry_answer(shared, call, entry_query.chat, &answer);
    Ok(json(&answer))
}
