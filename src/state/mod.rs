//! Tickets and the state that they put in force.

mod fold;
mod history;
mod object;
mod objects;
mod rejection;
mod spec;
mod ticket;
mod ticket_error;

pub(crate) use fold::record_digest;
pub use fold::{ACCEPTED_KEPT, Accepted, EarlierAcceptance, InForce, Outcome, Verdicts};
pub use history::History;
pub use object::{Kind, Object, Spec};
pub use objects::{ObjectState, Objects};
pub use rejection::Rejection;
pub use spec::{
    AdapterSpec, ExperimentSpec, ModelSpec, OrganisationSpec, PolicySpec, ServiceSpec, SuspectSpec,
};
pub use ticket::Ticket;
pub use ticket_error::TicketError;
