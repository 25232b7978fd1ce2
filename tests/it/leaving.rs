//! Leaving engines and requests that wait for capacity.

use std::time::Duration;

use filberttiller::demo::{Caller, ChatTurn, Fleet, FleetOptions};
use futures_util::future::join_all;
use standins::engine::{Faults, Options};

use crate::support::{question, start};

const POOL: &str = "assistant-llm";
/// Requests admitted to the engines: one and a half for each of two slots.
const CAPACITY: usize = 3;
/// Above the limit of a short request, so that the short-request capacity does not apply.
const TOKENS: u32 = 300;
/// Waiting requests; so many that a stale view would send some to both engines.
const WAITING: usize = 8;
/// Wait limit that no request reaches, however slow the machine is.
const LONG_WAIT: Duration = Duration::from_secs(300);

fn busy(fleet: &Fleet) -> usize {
    fleet.engines.iter().map(|it| it.load().running + it.load().queued).sum()
}

fn set_engine_faults(fleet: &Fleet, faults: Faults) {
    for it in &fleet.engines {
        it.set_faults(faults.clone());
    }
}

/// Whether the router considers the engine of this name to be leaving.
fn is_leaving(fleet: &Fleet, name: &str) -> bool {
    let view = fleet.routers[0].shared().view.peek();
    let pool = &view.pools[POOL];
    let mut engines = pool.engines.iter().zip(&pool.servers);
    engines.any(|(it, server)| server.name == name && it.leaving)
}

/// Requests that waited for capacity while an engine began to leave are placed by
/// the current view, not by that of their arrival.
#[tokio::test]
async fn waiting_request_avoids_leaving_engine() {
    let mut options = FleetOptions {
        routers: 1,
        engines: 2,
        canaries: 0,
        services: 0,
        engine: Options { slots: 1, ..Options::default() },
        ..FleetOptions::default()
    };
    options.settings.admission.wait = LONG_WAIT;
    let fleet = start(options).await;
    set_engine_faults(&fleet, Faults { slow: 1_000, ..Faults::default() });
    let slots = |it: &Fleet| it.routers[0].shared().view.peek().pools[POOL].load.slots;
    fleet.wait_until(|it| slots(it) == 2).await;
    let messages = question("reeds");
    let router = fleet.routers[0].address();
    let answers =
        join_all((0..CAPACITY + WAITING).map(|i| {
            let mut caller = Caller::new(&fleet.http, "dalisay", &format!("chat-{i}"));
            let messages = &messages;
            async move {
                caller.send(router, &ChatTurn { messages, tokens: TOKENS, stream: false }).await
            }
        }));
    let leave_engine = async {
        let waiting = |it: &Fleet| it.routers[0].shared().admission.waiting();
        fleet.wait_until(|it| waiting(it) == WAITING && busy(it) == CAPACITY).await;
        fleet.list.leave(&format!("{POOL}-0"));
        fleet.wait_until(|it| is_leaving(it, &format!("{POOL}-0"))).await;
        assert_eq!(waiting(&fleet), WAITING);
        let given = fleet.engines[0].total_runs() + fleet.engines[0].load().queued as u64;
        set_engine_faults(&fleet, Faults::default());
        given
    };
    let (answers, given) = tokio::join!(answers, leave_engine);
    let refused: Vec<_> = answers.iter().filter_map(|it| it.as_ref().err()).collect();
    assert!(refused.is_empty(), "{refused:?}");
    assert_eq!(fleet.engines[0].total_runs(), given);
    assert_eq!(fleet.engines[1].total_runs(), (CAPACITY + WAITING) as u64 - given);
}
