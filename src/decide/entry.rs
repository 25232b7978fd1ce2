//! Which routers a caller should use.

use std::cmp::Reverse;

use crate::decide::combine;

/// Requests a second that one router takes of one limited organisation before
/// the organisation gets a further home router.
const RATE_PER_HOME: f64 = 20.0;

plain! {
    /// A router as callers may use it.
    pub struct EntryRouter<'a> {
        /// Hash of the name.
        pub id: u64,
        /// Failure domain.
        pub domain: &'a str,
        /// Whether it takes no new callers.
        pub leaving: bool,
    }

    /// Who asks.
    pub struct EntryQuery {
        /// Hash of the organisation.
        pub organisation: u64,
        /// Key of the chat.
        pub chat: u64,
        /// Fleet-wide rate of the organisation, if it is limited.
        pub rate: Option<f64>,
        /// Addresses in the answer at most.
        pub max_addresses: usize,
    }
}

/// Number of home routers of an organisation limited to `rate` requests a second.
pub fn home_size(rate: f64) -> usize {
    (rate / RATE_PER_HOME).ceil().max(1.0) as usize
}

/// Whether the router `own` is among the `size` home routers of an organisation:
/// those that come first in its rendezvous order.
pub fn is_home(routers: &[EntryRouter<'_>], own: u64, organisation: u64, size: usize) -> bool {
    let score = combine(organisation, own);
    let better = |it: &&EntryRouter<'_>| !it.leaving && combine(organisation, it.id) > score;
    let known = routers.iter().any(|it| it.id == own && !it.leaving);
    known && routers.iter().filter(better).count() < size
}

/// Indexes of the routers in the order in which the caller should try them.
///
/// An organisation without limit has its chats spread over all routers by
/// rendezvous. A limited one has them spread over its home routers, so that its
/// limit is kept where its requests arrive. Neighbours in the order are in
/// different failure domains where possible; leaving routers are left out.
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

/// All routers that take callers, in rendezvous order for `key`.
fn ranked(routers: &[EntryRouter<'_>], key: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..routers.len()).filter(|&i| !routers[i].leaving).collect();
    sort_by_score(routers, &mut order, key);
    order
}

fn sort_by_score(routers: &[EntryRouter<'_>], order: &mut [usize], key: u64) {
    order.sort_by_key(|&i| Reverse(combine(key, routers[i].id)));
}

/// Keeps the first `most`, each in another failure domain than the one before it
/// where the rest allows; the first stays first.
fn alternate_domains(routers: &[EntryRouter<'_>], order: &mut Vec<usize>, most: usize) {
    let mut rest = std::mem::take(order);
    while order.len() < most && !rest.is_empty() {
        let last = order.last().map(|&i| routers[i].domain);
        let next = rest.iter().position(|&i| Some(routers[i].domain) != last).unwrap_or(0);
        order.push(rest.remove(next));
    }
}
