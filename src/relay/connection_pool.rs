//! Idle connections to backend servers, reused by later requests.

use std::collections::HashMap;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use crate::relay::{ConnectError, Connection};
use crate::servers::Server;

/// How long a connection may stay idle when the server names no time.
const DEFAULT_IDLE_TIME: Duration = Duration::from_millis(700);
/// Subtracted from the server's idle time, as its close takes time to arrive.
const IDLE_MARGIN: Duration = Duration::from_millis(800);
/// How long a connection may stay idle at most, whatever time the server names.
const MAX_IDLE_TIME: Duration = Duration::from_secs(8);
/// Limit on the idle connections to one server.
const MAX_IDLE_CONNECTIONS: usize = 48;
/// The limit on idle connections is never lower, however few the server accepts.
const MIN_IDLE_CONNECTIONS: usize = 2;
/// Share of the connections accepted by a server that all routers together may keep
/// idle; the rest is for requests in flight.
const IDLE_SHARE: f64 = 0.5;

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    expires: Instant,
}

/// Pools idle connections by server and incarnation.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: Mutex<HashMap<(u64, u64), Vec<IdleConnection>>>,
}

impl ConnectionPool {
    /// Returns a connection to `server`: the pooled one used last, or else a new one.
    /// With `force_new` always a new one, which the server cannot have closed while
    /// it was idle.
    ///
    /// # Errors
    /// Fails when no connection can be opened.
    pub async fn open(
        &self,
        server: &Server,
        force_new: bool,
        now: Instant,
    ) -> Result<Connection, ConnectError> {
        let pooled = if force_new { None } else { self.take(server, now) };
        match pooled {
            Some(it) => Ok(it),
            None => Connection::open(server.address, now).await,
        }
    }

    /// How many idle connections each of `routers` routers may pool for a server that
    /// accepts `limit` connections from all of them and resets those beyond.
    pub fn max_pooled(limit: Option<u32>, routers: usize) -> usize {
        let share = |it: u32| f64::from(it) * IDLE_SHARE / routers.max(1) as f64;
        limit.map_or(MAX_IDLE_CONNECTIONS, |it| {
            (share(it) as usize).clamp(MIN_IDLE_CONNECTIONS, MAX_IDLE_CONNECTIONS)
        })
    }

    /// Adds a connection whose answer was read to its end, unless `max` are pooled.
    /// `idle` is the server's idle time in seconds.
    pub fn put(
        &self,
        server: &Server,
        mut connection: Connection,
        idle: Option<u64>,
        max: usize,
        now: Instant,
    ) {
        let time = idle.map_or(DEFAULT_IDLE_TIME, |seconds| {
            Duration::from_secs(seconds).saturating_sub(IDLE_MARGIN).min(MAX_IDLE_TIME)
        });
        connection.last_used = now;
        connection.is_reused = true;
        let mut all = self.idle.lock().unwrap();
        let pooled = all.entry((server.hash, server.born)).or_default();
        if pooled.len() < max && !server.is_leaving() {
            pooled.push(IdleConnection { connection, expires: now + time });
        }
    }

    /// Closes connections that have expired or are no longer usable.
    pub fn remove_expired(&self, now: Instant) {
        self.idle.lock().unwrap().retain(|_, pooled| {
            pooled.retain(|it| now < it.expires && it.connection.is_usable());
            !pooled.is_empty()
        });
    }

    /// Closes all idle connections to `server`.
    pub fn close_idle(&self, server: &Server) {
        self.idle.lock().unwrap().remove(&(server.hash, server.born));
    }

    fn take(&self, server: &Server, now: Instant) -> Option<Connection> {
        let mut all = self.idle.lock().unwrap();
        let pooled = all.get_mut(&(server.hash, server.born))?;
        while let Some(it) = pooled.pop() {
            if now < it.expires && it.connection.is_usable() {
                return Some(it.connection);
            }
        }
        None
    }
}
