//! Which routers one round of exchanges reaches.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::seq::IndexedRandom;
use smallvec::SmallVec;

use crate::peers::PeerTable;

/// Time between two rounds of exchanges.
pub(crate) const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Number of other routers up to which each round exchanges with all of them.
pub(crate) const MAX_FULL_ROUND: usize = 6;
/// Random routers of the same failure domain per round of a larger fleet.
const NEAR_PER_ROUND: usize = 2;
/// Random routers of other failure domains per round of a larger fleet.
const FAR_PER_ROUND: usize = 1;

/// Addresses of the routers that one round reaches.
pub type RoundTargets = SmallVec<[SocketAddr; MAX_FULL_ROUND]>;

impl PeerTable {
    /// Routers to exchange with in this round: all of a small fleet; otherwise the reader
    /// that this router polls, the living router that has been silent for longest, and a few
    /// random ones. Fewer of these are in other failure domains, as traffic between failure
    /// domains costs more.
    pub fn round_targets(&self, now: Instant, random: &mut impl Rng) -> RoundTargets {
        let (near, far): (Vec<_>, Vec<_>) = self.addresses().partition(|(_, near)| *near);
        if near.len() + far.len() <= MAX_FULL_ROUND {
            return near.iter().chain(&far).map(|(address, _)| *address).collect();
        }
        let near = near.choose_multiple(random, NEAR_PER_ROUND).copied().collect::<Vec<_>>();
        let far = far.choose_multiple(random, FAR_PER_ROUND);
        let mut targets: RoundTargets = self.reader(now).into_iter().collect();
        targets.extend(self.most_silent(now).filter(|it| !targets.contains(it)));
        for (address, _) in near.iter().chain(far) {
            if !targets.contains(address) {
                targets.push(*address);
            }
        }
        targets
    }
}
