//! What routers tell each other of the demand for services that are short of room.

use std::time::Instant;

use slog::warn;

use crate::decide::{RankDemand, hash_bytes};
use crate::events::Code;
use crate::relay::Relay;
use crate::wire::{WireDemand, WireRankDemand};

/// The demand that this router tells others; empty in calm.
pub(crate) fn demand_news(relay: &Relay, now: Instant) -> Vec<WireDemand> {
    relay.room.shortages.collect(|service, it| {
        let ranks = it.news(now)?;
        let ranks =
            ranks.iter().map(|it| WireRankDemand(it.rank, it.offered as f32, it.refused as f32));
        Some(WireDemand(hash_bytes(service.as_bytes()), ranks.collect()))
    })
}

/// Merges the demand that the router called `sender` tells of.
pub(crate) fn merge_demand(relay: &Relay, sender: &str, demand: &[WireDemand], now: Instant) {
    if demand.is_empty() {
        return;
    }
    let router = hash_bytes(sender.as_bytes());
    let mut is_sound = true;
    relay.room.shortages.collect(|service, it| {
        let hash = hash_bytes(service.as_bytes());
        let told = demand.iter().find(|it| it.0 == hash)?;
        let ranks: Option<_> = told.1.iter().map(read_rank).collect();
        match ranks {
            Some(ranks) => it.record_peer(router, ranks, now),
            None => is_sound = false,
        }
        Some(())
    });
    if !is_sound && relay.room.unreadable_demand.is_first() {
        let code = Code::DemandUnreadable;
        warn!(relay.request_log.logger(), "{}", code.text();
            "event" => code.number(), "peer" => sender);
    }
}

fn read_rank(wire: &WireRankDemand) -> Option<RankDemand> {
    RankDemand::checked(wire.0, wire.1.into(), wire.2.into())
}
