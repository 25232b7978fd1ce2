//! One request in the chain of filters.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use smallvec::SmallVec;
use warp::http::{HeaderMap, Method};

use crate::filters::Arm;
use crate::fleet::View;
use crate::wire::ChatRequest;

plain! {
    /// Destination of a request.
    pub enum Target {
        /// Not resolved yet.
        Unknown,
        /// Engines of a pool that serve a model.
        Model {
            /// The pool.
            pool: String,
            /// Name by which the engines know the model.
            name: String,
        },
        /// Instances of a plain service.
        Service {
            /// The pool.
            pool: String,
            /// Whether the call must run at most once.
            once: bool,
            /// Name of the service.
            name: String,
            /// Whether the service itself refuses a repeated idempotency key.
            checks_keys: bool,
        },
    }
}

/// One request in the chain of filters.
#[derive(Debug)]
pub struct Call {
    /// Id of the request; unique over all routers.
    pub id: String,
    /// Method.
    pub method: Method,
    /// Path, without query.
    pub path: String,
    /// Query, without question mark.
    pub query: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Organisation; set by `identify`.
    pub organisation: String,
    /// Key of the chat; set by `identify`.
    pub chat: u64,
    /// When the head of the request arrived.
    pub began: Instant,
    /// When the answer is due; set by `identify`.
    pub deadline: Instant,
    /// The view of the fleet used for this request.
    pub view: Arc<View>,
    /// The parsed body of a chat request; set by `parse`.
    pub request: Option<ChatRequest>,
    /// Routing policy that an experiment sets.
    pub policy: Option<String>,
    /// Experiments that the request counts towards; set by `experiment`.
    pub arms: SmallVec<[Arm; 2]>,
    /// Destination; set by `resolve`.
    pub target: Target,
}

impl Call {
    /// The value of a header, if present and visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
