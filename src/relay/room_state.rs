//! State of the admission of requests to services that are short of room.

use std::sync::{Arc, Mutex};

use crate::decide::{RefusedCallers, Shortage, UsualDeadline};
use crate::events::LogOnce;
use crate::relay::by_service::ByService;
use crate::servers::RoomWaiters;

/// What is known of the shortage of each service, and the requests that wait.
#[derive(Debug)]
pub(crate) struct RoomState {
    pub shortages: ByService<Shortage>,
    /// By the name of the route.
    pub usual_deadlines: ByService<UsualDeadline>,
    pub refused: Mutex<RefusedCallers>,
    pub waiters: Arc<RoomWaiters>,
    /// Another router told of a demand that makes no sense.
    pub unreadable_demand: LogOnce,
}

impl RoomState {
    /// No shortage, and no waiting requests but `waiters`.
    pub fn new(waiters: RoomWaiters) -> RoomState {
        RoomState {
            shortages: ByService::default(),
            usual_deadlines: ByService::default(),
            refused: Mutex::default(),
            waiters: Arc::new(waiters),
            unreadable_demand: LogOnce::default(),
        }
    }
}
