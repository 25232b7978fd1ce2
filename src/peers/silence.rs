//! How long a router may be silent before it counts as dead.

use std::time::Duration;

use crate::peers::peer::PEER_TIMEOUT;
use crate::peers::round::ROUND_INTERVAL;

/// Largest fleet in which `PEER_TIMEOUT` is enough.
const MAX_ROUTERS_AT_TIMEOUT: usize = 14;
/// Routers that know something after one more round, for each that knew it before. Messages have
/// room for a part of the news only, so this is less than the number of routers exchanged with.
const SPREAD_PER_ROUND: usize = 2;

/// Limit on the silence of a router in a fleet of `routers`. In a larger fleet news of a router
/// pass through others, each for a round, so the limit grows with the logarithm of the fleet's
/// size (Demers et al., "Epidemic algorithms for replicated database maintenance", 1987).
pub(crate) fn silence_limit(routers: usize) -> Duration {
    if routers <= MAX_ROUTERS_AT_TIMEOUT {
        return PEER_TIMEOUT;
    }
    let mut reached = MAX_ROUTERS_AT_TIMEOUT;
    // A round more, as messages may cross a round on either side.
    let mut limit = PEER_TIMEOUT + ROUND_INTERVAL;
    while reached < routers {
        reached *= SPREAD_PER_ROUND;
        limit += ROUND_INTERVAL;
    }
    limit
}
