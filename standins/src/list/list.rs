//! HTTP server of the instance list.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;
use warp::Filter;
use warp::http::StatusCode;

use crate::list::{Entry, InstanceState};
use crate::server::{Server, Switch, json_reply, not_found, status_reply};

/// Faults of the list.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Age of the version that readers get, in milliseconds.
    pub lag_ms: u64,
    /// Answers 503 to everything.
    pub out: bool,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    /// Never empty, newest last; the first may be older than the lag.
    versions: VecDeque<(Instant, Vec<Entry>)>,
}

/// Instance list on a loopback address.
#[derive(Debug)]
pub struct InstanceList {
    server: Server,
    state: Arc<Mutex<State>>,
}

impl InstanceList {
    /// Starts an empty list on `addr`.
    ///
    /// # Errors
    /// Fails when the address cannot be bound.
    pub async fn start(addr: SocketAddr) -> io::Result<InstanceList> {
        let versions = VecDeque::from([(Instant::now(), Vec::new())]);
        let state = Arc::new(Mutex::new(State { faults: Faults::default(), versions }));
        let reader = Arc::clone(&state);
        let read = warp::get().and(warp::path!("instances")).map(move || {
            let mut state = reader.lock().unwrap();
            if state.faults.out {
                return status_reply(StatusCode::SERVICE_UNAVAILABLE, "list is out");
            }
            json_reply(StatusCode::OK, &visible(&mut state))
        });
        let writer = Arc::clone(&state);
        let faults = warp::post().and(warp::path!("faults")).and(warp::body::json()).map(
            move |faults: Faults| {
                writer.lock().unwrap().faults = faults;
                json_reply(StatusCode::OK, &true)
            },
        );
        let routes = read.or(faults).unify().recover(not_found).unify();
        let server = Server::start(addr, Arc::new(Switch::default()), routes).await?;
        Ok(InstanceList { server, state })
    }

    /// Address on which the list listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: Faults) {
        self.state.lock().unwrap().faults = faults;
    }

    /// Adds an instance, or replaces the one of the same name.
    pub fn put(&self, entry: Entry) {
        self.change(|entries| {
            entries.retain(|it| it.name != entry.name);
            entries.push(entry);
        });
    }

    /// Marks an instance as leaving.
    pub fn leave(&self, name: &str) {
        self.change(|entries| {
            for it in entries.iter_mut().filter(|it| it.name == name) {
                it.standing = InstanceState::Leaving;
            }
        });
    }

    /// Removes an instance.
    pub fn remove(&self, name: &str) {
        self.change(|entries| entries.retain(|it| it.name != name));
    }

    fn change(&self, edit: impl FnOnce(&mut Vec<Entry>)) {
        let mut state = self.state.lock().unwrap();
        let mut entries = state.versions.back().map(|it| it.1.clone()).unwrap_or_default();
        edit(&mut entries);
        state.versions.push_back((Instant::now(), entries));
    }
}

/// Returns the newest version that is at least as old as the lag.
fn visible(state: &mut State) -> &[Entry] {
    let lag = Duration::from_millis(state.faults.lag_ms);
    let now = Instant::now();
    while state.versions.len() > 1 && now.duration_since(state.versions[1].0) >= lag {
        state.versions.pop_front();
    }
    &state.versions[0].1
}
