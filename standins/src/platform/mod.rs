//! The users' platform: its metadata store, and backend servers that speak its protocol.

pub mod fixture;
mod handled_request;
mod server_answer;
mod server_behaviour;
mod server_standin;
mod store;
mod store_view;

pub use handled_request::HandledRequest;
pub use server_behaviour::ServerBehaviour;
pub use server_standin::ServerStandin;
pub use store::{MetaStore, StoreCopy, StoreFault};
pub use store_view::StoreView;
