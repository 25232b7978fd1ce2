//! Tickets, and the state in force that results from them.

mod fold;
mod history;
mod object;
mod objects;
mod rejection;
mod spec;
mod ticket;
mod ticket_error;

pub(crate) use fold::record_digest;
pub use fold::{Accepted, EarlierAcceptance, InForce, MAX_ACCEPTED, Outcome, Outcomes};
pub use history::History;
pub use object::{Kind, Object, Spec};
pub use objects::{ObjectState, Objects};
pub use rejection::Rejection;
pub use spec::{
    AdapterSpec, ExperimentSpec, ModelSpec, OrganisationSpec, PolicySpec, ServiceSpec, SuspectSpec,
};
pub use ticket::Ticket;
pub use ticket_error::TicketError;
