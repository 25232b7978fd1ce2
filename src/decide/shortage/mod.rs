//! Admission while a service has less room than its callers ask for: who waits for room in a
//! router, who is refused at once, and when refused callers return.

mod demand;
mod lane;
mod peer_demand;
mod rank_room;
mod refused_callers;
mod return_times;
mod shortage;
mod usual_deadline;
mod wait_decision;
mod wait_queue;

pub use demand::{Demand, RankDemand};
pub use lane::{Lane, Standing};
pub use peer_demand::PeerDemand;
pub use rank_room::RankRoom;
pub use refused_callers::RefusedCallers;
pub use return_times::ReturnTimes;
pub use shortage::{Shortage, ShortageView};
pub use usual_deadline::UsualDeadline;
pub use wait_decision::{NoWait, WaitQuery, may_wait};
pub use wait_queue::{WaitKey, WaitQueue};
