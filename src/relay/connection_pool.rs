//! Connections to backend servers, kept for the next request.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::relay::{ConnectError, Connection};
use crate::servers::Server;

/// How long an idle connection is used when the server does not say.
const DEFAULT_IDLE: Duration = Duration::from_millis(700);
/// Part of the server's idle time that is left unused, as closing takes time to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// Longest use of an idle connection, whatever the server says.
const MOST_IDLE: Duration = Duration::from_secs(8);
/// Idle connections kept for one server.
const MOST_KEPT: usize = 48;
/// Fewest that may be kept, whatever the server takes.
const LEAST_KEPT: usize = 2;
/// Part of the connections that a server takes which all routers together keep idle;
/// the rest is for requests under way.
const KEPT_PART: f64 = 0.5;

#[derive(Debug)]
struct Idle {
    connection: Connection,
    until: Instant,
}

/// Idle connections by server and incarnation.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<(u64, u64), Vec<Idle>>>,
}

impl ConnectionPool {
    /// A connection to `server`: the one used last, or a new one. With `fresh`
    /// always a new one, which cannot have been closed by the server meanwhile.
    ///
    /// # Errors
    /// Fails when no connection can be opened.
    pub async fn open(
        &self,
        server: &Server,
        fresh: bool,
        now: Instant,
    ) -> Result<Connection, ConnectError> {
        let kept = if fresh { None } else { self.take(server, now) };
        match kept {
            Some(it) => Ok(it),
            None => Connection::open(server.address, now).await,
        }
    }

    /// Idle connections that one of `routers` routers may keep to a server that takes
    /// `limit` from all of them, and resets those beyond.
    pub fn max_pooled(limit: Option<u32>, routers: usize) -> usize {
        let share = |it: u32| f64::from(it) * KEPT_PART / routers.max(1) as f64;
        limit.map_or(MOST_KEPT, |it| (share(it) as usize).clamp(LEAST_KEPT, MOST_KEPT))
    }

    /// Keeps a connection whose answer was read to its end, unless there are `most`.
    pub fn put(
        &self,
        server: &Server,
        mut connection: Connection,
        idle: Option<u64>,
        most: usize,
        now: Instant,
    ) {
        let time = idle.map_or(DEFAULT_IDLE, |seconds| {
            Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(MOST_IDLE)
        });
        connection.last_used = now;
        connection.is_reused = true;
        let mut all = self.idle.lock().unwrap();
        let kept = all.entry((server.hash, server.born)).or_default();
        if kept.len() < most && !server.is_leaving() {
            kept.push(Idle { connection, until: now + time });
        }
    }

    /// Closes what is no longer used.
    pub fn remove_expired(&self, now: Instant) {
        self.idle.lock().unwrap().retain(|_, kept| {
            kept.retain(|it| now < it.until && it.connection.is_usable());
            !kept.is_empty()
        });
    }

    /// Closes all idle connections to `server`.
    pub fn close_idle(&self, server: &Server) {
        self.idle.lock().unwrap().remove(&(server.hash, server.born));
    }

    fn take(&self, server: &Server, now: Instant) -> Option<Connection> {
        let mut all = self.idle.lock().unwrap();
        let kept = all.get_mut(&(server.hash, server.born))?;
        while let Some(it) = kept.pop() {
            if now < it.until && it.connection.is_usable() {
                return Some(it.connection);
            }
        }
        None
    }
}
