//! Whose connection to close when memory or connections are short.
//!
//! Answers crowds that open many connections, send part of what they announce, or leave answers
//! unread. A client within ordinary limits is served while there is room, however slow it is.

use std::collections::HashMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

/// Age up to which a connection is not closed for lack of room.
const MIN_AGE: Duration = Duration::from_secs(1);
/// Time without a write after which an answer counts as unread.
const UNREAD_TIME: Duration = Duration::from_secs(2);
/// Part of a limit up to which an address may use what it wants.
const FREE_PART: f64 = 0.75;
/// Part of a limit that one address may use beyond that.
const ADDRESS_PART: f64 = 0.5;
/// Rate from which on a client that sends keeps its room, in bytes a second.
const LEAST_RATE: f64 = 16.0 * 1024.0;

key! {
    /// What is short.
    pub enum Scarcity {
        /// Memory for what clients send and do not read.
        Memory,
        /// Connections.
        Connections,
    }

    /// What a client does.
    pub enum ClientPhase {
        /// It sends a head or a body.
        Sending,
        /// It has not read all of an answer.
        Reading,
        /// It waits for an answer.
        Waiting,
        /// It has no request.
        Idle,
    }
}

plain! {
    /// The state of a client.
    #[derive(Copy)]
    pub struct ClientState {
        /// Where it connected from.
        pub address: IpAddr,
        /// What it does.
        pub phase: ClientPhase,
        /// Since when; while it reads, when it last took something.
        pub since: Instant,
        /// Bytes that it sends in a second.
        pub rate: f64,
        /// Bytes that are held for it.
        pub held: usize,
    }
}

impl ClientState {
    fn may_close(&self, scarcity: Scarcity, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.since);
        let gives_room = scarcity == Scarcity::Connections || self.held > 0;
        gives_room
            && match self.phase {
                ClientPhase::Sending => age >= MIN_AGE && self.rate < LEAST_RATE,
                ClientPhase::Reading => age >= UNREAD_TIME,
                ClientPhase::Idle => age >= MIN_AGE,
                ClientPhase::Waiting => false,
            }
    }
}

/// Whether an address that holds `own` of `used` may hold no more, as `limit` is nearly reached: the
/// rest is for other addresses.
pub fn is_over_share(own: usize, used: usize, limit: usize) -> bool {
    let limit = limit as f64;
    used as f64 > limit * FREE_PART && own as f64 > limit * ADDRESS_PART
}

/// Index of the client to close. The address that holds most goes first, of its clients those that
/// send too slowly, then those that do not read, then idle ones, and of these the slowest and
/// oldest. A client that waits for an answer is never closed.
pub fn client_to_close(clients: &[ClientState], scarcity: Scarcity, now: Instant) -> Option<usize> {
    let weight = |it: &ClientState| match scarcity {
        Scarcity::Memory => it.held,
        Scarcity::Connections => 1,
    };
    let mut shares: HashMap<IpAddr, usize> = HashMap::new();
    for it in clients {
        *shares.entry(it.address).or_default() += weight(it);
    }
    let closable = (0..clients.len()).filter(|it| clients[*it].may_close(scarcity, now));
    closable.min_by(|a, b| {
        let (a, b) = (&clients[*a], &clients[*b]);
        let by_share = shares[&b.address].cmp(&shares[&a.address]);
        let by_phase = a.phase.cmp(&b.phase);
        let by_rate = a.rate.total_cmp(&b.rate);
        by_share.then(by_phase).then(by_rate).then(a.since.cmp(&b.since))
    })
}
