//! Clients of the platform's services, of engines and of other routers.

mod control_http;
mod engine_client;
mod list_client;
mod log_client;
mod platform_error;
mod router_client;
mod traffic_meter;

pub use control_http::ControlHttp;
pub(crate) use control_http::head_bytes;
pub use engine_client::EngineClient;
pub use list_client::ListClient;
pub use log_client::LogClient;
pub use platform_error::PlatformError;
pub(crate) use platform_error::error_text;
pub use router_client::{RouterClient, TOKEN_HEADER};
pub use traffic_meter::TrafficMeter;
