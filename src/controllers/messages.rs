//! Messages to the publisher.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::backend::PlatformError;
use crate::state::{InForce, Ticket};
use crate::wire::{Gossip, Instance, LoadReport};

/// One record of the ticket stream.
#[derive(Debug)]
pub struct TicketRecord {
    /// Its offset.
    pub offset: u64,
    /// Its body as JSON text.
    pub text: String,
    /// The ticket, or why it is none.
    pub ticket: Result<Ticket, String>,
}

/// The log answered with these records, in order; maybe none.
#[derive(Debug)]
pub struct RecordsRead {
    /// The records.
    pub records: Vec<TicketRecord>,
}

/// A state read from a snapshot in the log.
#[derive(Debug)]
pub struct SnapshotRead {
    /// The state.
    pub state: InForce,
}

/// A new version of the instance list.
#[derive(Debug)]
pub struct ListRead {
    /// All instances.
    pub instances: Vec<Instance>,
}

/// A load report of an engine.
#[derive(Debug)]
pub struct LoadReported {
    /// Name of the engine.
    pub name: String,
    /// What it reports.
    pub report: LoadReport,
}

/// This router takes no new callers from now on.
#[derive(Debug)]
pub struct BeginLeaving;

/// Traffic added leaving marks.
#[derive(Debug)]
pub struct MarksAdded;

/// Publishes what has changed.
#[derive(Debug)]
pub struct Flush;

/// Asks which engines this router asks for their load.
#[derive(Debug)]
pub struct LoadTargets;

/// Asks whether this router follows the log.
#[derive(Debug)]
pub struct TailQuery;

/// What this router does with the log.
#[derive(Debug)]
pub struct TailPlan {
    /// Whether it follows the ticket stream.
    pub follow: bool,
    /// Its place among the followers, from 0; the first writes snapshots.
    pub rank: usize,
    /// The state so far.
    pub state: Arc<InForce>,
}

/// Asks for the next exchange to make.
#[derive(Debug)]
pub struct NextExchange {
    /// Whether one is due although nothing is urgent.
    pub due: bool,
}

/// An exchange to make.
#[derive(Debug)]
pub struct OutgoingExchange {
    /// Name of the peer.
    pub peer: String,
    /// Its control address.
    pub addr: SocketAddr,
    /// What to send.
    pub message: Gossip,
    /// Whether it fetches what this router lacks.
    pub pull: bool,
}

/// How an exchange went.
#[derive(Debug)]
pub struct ExchangeDone {
    /// Name of the peer.
    pub peer: String,
    /// Whether it was to fetch what this router lacks.
    pub pull: bool,
    /// Whether it carried records or leaving marks.
    pub urgent: bool,
    /// The reply.
    pub reply: Result<Gossip, PlatformError>,
}

/// A peer that turned this router away is no longer left alone.
#[derive(Debug)]
pub struct RetryPeer {
    /// Name of the peer.
    pub peer: String,
    /// Whether urgent news is to be told again.
    pub urgent: bool,
}

/// An exchange that a peer began; answered with the reply.
#[derive(Debug)]
pub struct IncomingExchange {
    /// What the peer sent.
    pub message: Gossip,
}
