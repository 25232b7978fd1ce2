//! One request on its way through the chain.

use std::sync::Arc;
use std::time::Instant;

use bytes::Bytes;
use smallvec::SmallVec;
use warp::http::{HeaderMap, Method};

use crate::filters::Arm;
use crate::fleet::View;
use crate::wire::ChatRequest;

plain! {
    /// Where a request is meant to go.
    pub enum Target {
        /// Not known yet.
        Unknown,
        /// Engines of a pool, under the name that they know the model by.
        Model {
            /// The pool.
            pool: String,
            /// Name for the engines.
            name: String,
        },
        /// Instances of a plain service.
        Service {
            /// The pool.
            pool: String,
            /// Whether the call may not be repeated.
            once: bool,
            /// Name of the service.
            name: String,
            /// Whether the service refuses repeats of a key by itself.
            checks_keys: bool,
        },
    }
}

/// One request on its way through the chain.
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
    /// When its head arrived.
    pub began: Instant,
    /// When the answer must be there; set by `identify`.
    pub deadline: Instant,
    /// The view that holds for this request.
    pub view: Arc<View>,
    /// The parsed body of a chat request; set by `resolve`.
    pub request: Option<ChatRequest>,
    /// Routing policy that an experiment asks for.
    pub policy: Option<String>,
    /// Experiments that the request counts towards; set by `experiment`.
    pub arms: SmallVec<[Arm; 2]>,
    /// Where it goes; set by `resolve`.
    pub target: Target,
}

impl Call {
    /// The value of a header, if it is there and readable.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}
