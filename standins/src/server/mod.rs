//! HTTP server whose connections can be closed at any time.

mod reply;
mod server;

pub(crate) use reply::not_found;
pub use reply::{bad_request, json_reply, status_reply};
pub use server::{Server, Switch};
