//! The routers that a caller should use.

use std::cmp::Reverse;

use crate::decide::combine;

/// Requests a second of one rate-limited organisation that one router takes; beyond
/// that the organisation gets another home router.
const RATE_PER_HOME: f64 = 20.0;

plain! {
    /// A router that callers may use.
    pub struct EntryRouter<'a> {
        /// Hash of the name.
        pub id: u64,
        /// Failure domain.
        pub domain: &'a str,
        /// Whether it takes no new callers.
        pub leaving: bool,
    }

    /// The caller that needs the addresses of routers.
    pub struct EntryQuery {
        /// Hash of the organisation.
        pub organisation: u64,
        /// Key of the chat.
        pub chat: u64,
        /// Fleet-wide limit of the organisation in requests a second, if it has one.
        pub rate: Option<f64>,
        /// Maximum number of addresses in the response.
        pub max_addresses: usize,
    }
}

/// Returns the number of home routers of an organisation that is limited to `rate`
/// requests a second.
pub fn home_size(rate: f64) -> usize {
    (rate / RATE_PER_HOME).ceil().max(1.0) as usize
}

/// Whether the router `own` is among the `size` home routers of an organisation, which
/// are the first ones in the organisation's rendezvous order.
pub fn is_home(routers: &[EntryRouter<'_>], own: u64, organisation: u64, size: usize) -> bool {
    let score = combine(organisation, own);
    let better = |it: &&EntryRouter<'_>| !it.leaving && combine(organisation, it.id) > score;
    let known = routers.iter().any(|it| it.id == own && !it.leaving);
    known && routers.iter().filter(better).count() < size
}

/// Returns the indexes of the routers in the order in which the caller should try them.
///
/// The chats of an organisation without a rate limit are spread over all routers by
/// rendezvous hashing. Those of a limited organisation are spread over its home routers,
/// so that the limit is enforced where the requests arrive. Neighbours in the order are
/// in different failure domains where possible. Leaving routers are not included.
pub fn entry_order(routers: &[EntryRouter<'_>], query: &EntryQuery) -> Vec<usize> {
    let mut order = match query.rate {
        None => ranked(routers, query.chat),
        Some(rate) => {
            let mut all = ranked(routers, query.organisation);
            let size = home_size(rate).min(all.len());
            let key = combine(query.organisation, query.chat);
            sort_by_score(routers, &mut all[..size], key);
            all
        }
    };
    alternate_domains(routers, &mut order, query.max_addresses);
    order
}

/// Returns all routers that take callers, in rendezvous order for `key`.
fn ranked(routers: &[EntryRouter<'_>], key: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..routers.len()).filter(|&i| !routers[i].leaving).collect();
    sort_by_score(routers, &mut order, key);
    order
}

fn sort_by_score(routers: &[EntryRouter<'_>], order: &mut [usize], key: u64) {
    order.sort_by_key(|&i| Reverse(combine(key, routers[i].id)));
}

/// Truncates `order` to `max` routers and puts neighbours into different failure
/// domains where the remaining routers allow it. The first router stays first.
fn alternate_domains(routers: &[EntryRouter<'_>], order: &mut Vec<usize>, max: usize) {
    let mut remaining = std::mem::take(order);
    while order.len() < max && !remaining.is_empty() {
        let last = order.last().map(|&i| routers[i].domain);
        let next = remaining.iter().position(|&i| Some(routers[i].domain) != last).unwrap_or(0);
        order.push(remaining.remove(next));
    }
}
