//! Messages to the publisher.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::backend::PlatformError;
use crate::state::{InForce, Ticket};
use crate::wire::{Gossip, Instance, LoadReport};

/// A record of the ticket stream.
#[derive(Debug)]
pub struct TicketRecord {
    /// Its offset.
    pub offset: u64,
    /// Its body as JSON text.
    pub text: String,
    /// The ticket, or the error for which it cannot be read.
    pub ticket: Result<Ticket, String>,
}

/// The log answered a read; there may be no new record.
#[derive(Debug)]
pub struct RecordsRead {
    /// The records, in order.
    pub records: Vec<TicketRecord>,
}

/// A snapshot was read from the log.
#[derive(Debug)]
pub struct SnapshotRead {
    /// The state in the snapshot.
    pub state: InForce,
}

/// The instance list was read.
#[derive(Debug)]
pub struct ListRead {
    /// All instances.
    pub instances: Vec<Instance>,
}

/// An engine reported its load.
#[derive(Debug)]
pub struct LoadReported {
    /// Name of the engine.
    pub name: String,
    /// The report.
    pub report: LoadReport,
}

/// This router begins to leave: it takes no new callers from now on.
#[derive(Debug)]
pub struct BeginLeaving;

/// Request traffic added leaving marks.
#[derive(Debug)]
pub struct MarksAdded;

/// Publishes the changes that were held back to be published together.
#[derive(Debug)]
pub struct Flush;

/// Requests the engines that this router is to poll for their load.
#[derive(Debug)]
pub struct LoadTargets;

/// Requests the [`TailPlan`].
#[derive(Debug)]
pub struct TailQuery;

/// How this router is to use the ticket log.
#[derive(Debug)]
pub struct TailPlan {
    /// Whether it follows the ticket stream.
    pub follow: bool,
    /// Its rank among the followers, from 0; the first one writes snapshots.
    pub rank: usize,
    /// The state in force here.
    pub state: Arc<InForce>,
}

/// Requests the next exchange to make.
#[derive(Debug)]
pub struct NextExchange {
    /// Whether a regular exchange is due.
    pub due: bool,
}

/// An exchange to make.
#[derive(Debug)]
pub struct OutgoingExchange {
    /// Name of the peer.
    pub peer: String,
    /// Its control address.
    pub addr: SocketAddr,
    /// The message to send.
    pub message: Gossip,
    /// Whether it fetches records or state that this router lacks.
    pub pull: bool,
}

/// An exchange that this router began is over.
#[derive(Debug)]
pub struct ExchangeDone {
    /// Name of the peer.
    pub peer: String,
    /// Whether it was to fetch records or state that this router lacks.
    pub pull: bool,
    /// Whether it carried records or leaving marks.
    pub urgent: bool,
    /// The reply, or why there is none.
    pub reply: Result<Gossip, PlatformError>,
}

/// The backoff of a peer is over.
#[derive(Debug)]
pub struct RetryPeer {
    /// Name of the peer.
    pub peer: String,
    /// Whether an urgent message is to be sent again.
    pub urgent: bool,
}

/// A peer began an exchange; answered with the reply to it.
#[derive(Debug)]
pub struct IncomingExchange {
    /// The message of the peer.
    pub message: Gossip,
}
