//! Builds the parts of the view.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::controllers::placement_engine::placement_engine;
use crate::decide::{SentTokens, hash_bytes};
use crate::fleet::{BackendServer, InstanceTable, LoadTable, LoadedModels, Members, Pool, Router};
use crate::wire::{InstanceState, MemberStatus, Role, WireMember};

/// Backend servers by pool. A server with a leaving mark counts as leaving, whatever
/// its state in the instance list.
pub(super) fn pools(
    instances: &InstanceTable,
    loads: &LoadTable,
    loaded_models: &LoadedModels,
    is_marked: impl Fn(&str, u64) -> bool,
    sent: &mut HashMap<String, Arc<SentTokens>>,
) -> HashMap<String, Pool> {
    let mut pools: HashMap<String, Pool> = HashMap::new();
    for it in instances.instances().filter(|it| it.role != Role::Entry) {
        let id = hash_bytes(it.name.as_bytes());
        let report = loads.get(id);
        let mut it = it.clone();
        if is_marked(&it.name, report.map_or(0, |it| it.incarnation)) {
            it.standing = InstanceState::Leaving;
        }
        let pool = pools.entry(it.pool.clone()).or_default();
        let sent = Arc::clone(sent.entry(it.name.clone()).or_default());
        sent.record_report_once(loads.seq(id));
        if it.standing == InstanceState::Live {
            pool.load.add(report);
        }
        pool.loaded.push(loaded_models.get(id, report.map_or(0, |it| it.incarnation)).cloned());
        pool.engines.push(placement_engine(&it, report, sent));
        pool.servers.push(BackendServer { name: it.name, address: it.address, domain: it.domain });
    }
    pools
}

/// All routers: those on the instance list, those known only by gossip, and this one.
/// A listed router that is dead according to gossip gets no callers.
pub(super) fn routers(instances: &InstanceTable, members: &Members) -> Vec<Router> {
    let mut routers = Vec::new();
    let mut names = BTreeSet::new();
    for it in instances.instances().filter(|it| it.role == Role::Entry) {
        let own = Some(members.own()).filter(|own| own.name == it.name);
        let status = own.or_else(|| members.get(&it.name)).map(|it| it.status);
        let unavailable = matches!(status, Some(MemberStatus::Leaving | MemberStatus::Dead));
        names.insert(it.name.as_str());
        routers.push(Router {
            name: it.name.clone(),
            id: hash_bytes(it.name.as_bytes()),
            address: it.address,
            control: it.control,
            domain: it.domain.clone(),
            leaving: unavailable || it.standing == InstanceState::Leaving,
        });
    }
    let known = members.others().chain([members.own()]);
    routers.extend(known.filter(|it| !names.contains(it.name.as_str())).map(router));
    routers
}

fn router(it: &WireMember) -> Router {
    Router {
        name: it.name.clone(),
        id: hash_bytes(it.name.as_bytes()),
        address: it.address,
        control: Some(it.control),
        domain: it.domain.clone(),
        leaving: it.status == MemberStatus::Leaving,
    }
}
