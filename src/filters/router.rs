//! The HTTP API for callers.

use std::convert::Infallible;
use std::sync::Arc;

use bytes::Buf;
use futures_util::Stream;
use smallvec::SmallVec;
use warp::filters::path::FullPath;
use warp::http::{HeaderMap, Method};
use warp::reply::Response;
use warp::{Filter as _, Reply};

use crate::filters::admit::limit_rate;
use crate::filters::chat::chat;
use crate::filters::entry::entry;
use crate::filters::experiment::experiment;
use crate::filters::final_event::{FinalEvent, StreamedAnswer};
use crate::filters::identify::identify;
use crate::filters::new_key::new_key;
use crate::filters::once::before_key_check;
use crate::filters::ready::ready;
use crate::filters::request_id::new_id;
use crate::filters::resolve::{parse_chat, resolve_model, resolve_service};
use crate::filters::resume::resume;
use crate::filters::service::service;
use crate::filters::trace::{observe_time, record_received, stamp_time};
use crate::filters::{
    Call, Chain, Filter, ORGANISATION_HEADER, Reason, Refusal, Shared, Target, body,
};

/// Filters of chat requests.
const CHAT: Chain = Chain {
    filters: &[
        Filter { name: "ready", apply: ready },
        Filter { name: "identify", apply: identify },
        Filter { name: "trace", apply: record_received },
        Filter { name: "limit", apply: limit_rate },
        Filter { name: "parse", apply: parse_chat },
        Filter { name: "experiment", apply: experiment },
        Filter { name: "resolve", apply: resolve_model },
    ],
};

/// Filters of service calls.
const SERVICE: Chain = Chain {
    filters: &[
        Filter { name: "ready", apply: ready },
        Filter { name: "identify", apply: identify },
        Filter { name: "trace", apply: record_received },
        Filter { name: "limit", apply: limit_rate },
        Filter { name: "resolve", apply: resolve_service },
    ],
};

/// Filters of calls that resume a stream.
const STREAM: Chain = Chain {
    filters: &[
        Filter { name: "ready", apply: ready },
        Filter { name: "identify", apply: identify },
    ],
};

/// Kinds of calls, as counted in metrics.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Entry,
    Chat,
    Service,
    NewKey,
    Stream,
    Unknown,
}

impl Kind {
    fn as_str(self) -> &'static str {
        match self {
            Kind::Entry => "entry",
            Kind::Chat => "chat",
            Kind::Service => "service",
            Kind::NewKey => "new_key",
            Kind::Stream => "stream",
            Kind::Unknown => "unknown",
        }
    }
}

/// The API for callers as one warp filter.
pub fn caller_api(
    shared: &Arc<Shared>,
) -> impl warp::Filter<Extract = (Response,), Error = Infallible> + Clone + Send + Sync + 'static + use<>
{
    let shared = Arc::clone(shared);
    let query = warp::query::raw().or_else(|_| async { Ok::<_, Infallible>((String::new(),)) });
    warp::method()
        .and(warp::path::full())
        .and(query)
        .and(warp::header::headers_cloned())
        .and(warp::body::stream())
        .then(move |method, path: FullPath, query, headers, body| {
            let shared = Arc::clone(&shared);
            async move {
                observe_time(&shared, &headers);
                let call = new_call(&shared, method, &path, query, headers);
                let mut reply = answer(&shared, call, body).await;
                stamp_time(&shared, &mut reply);
                reply
            }
        })
        .recover(|_| async { Ok::<_, Infallible>(malformed_request()) })
        .unify()
}

/// A call from the head of its request; the body is read later.
fn new_call(
    shared: &Shared,
    method: Method,
    path: &FullPath,
    query: String,
    headers: HeaderMap,
) -> Call {
    let began = shared.clock.now();
    let organisation = headers.get(ORGANISATION_HEADER).map_or(&[][..], |it| it.as_bytes());
    Call {
        id: new_id(&shared.settings.token, organisation),
        method,
        path: path.as_str().to_owned(),
        query,
        headers,
        body: bytes::Bytes::new(),
        organisation: String::new(),
        chat: 0,
        began,
        deadline: began + shared.settings.traffic.deadline,
        view: shared.view.load(),
        request: None,
        policy: None,
        arms: SmallVec::new(),
        target: Target::Unknown,
    }
}

async fn answer<B, S>(shared: &Arc<Shared>, call: Call, body: S) -> Response
where
    B: Buf,
    S: Stream<Item = Result<B, warp::Error>>,
{
    let id = call.id.clone();
    let kind = kind(&call);
    let mut final_event = FinalEvent::new(shared, &id, kind.as_str());
    let begin = shared.clock.now();
    let result = serve(shared, kind, call, body).await;
    let time = shared.clock.now().saturating_duration_since(begin);
    shared.counters.request_metrics.observe_response(kind.as_str(), time);
    match result {
        Ok(reply) if reply.extensions().get::<StreamedAnswer>().is_some() => {
            final_event.hand_over();
            reply
        }
        Ok(reply) => {
            final_event.answered(&reply, kind.as_str());
            reply
        }
        Err(refusal) => {
            final_event.refused(&refusal);
            refusal.reply(&id).into_response()
        }
    }
}

fn kind(call: &Call) -> Kind {
    match (&call.method, call.path.as_str()) {
        (&Method::GET, "/v1/entry") => Kind::Entry,
        (&Method::POST, "/v1/chat/completions") => Kind::Chat,
        (&Method::POST, "/v1/keys") => Kind::NewKey,
        (&Method::GET, path) if path.starts_with("/v1/streams/") => Kind::Stream,
        (_, path) if path.starts_with("/v1/services/") => Kind::Service,
        _ => Kind::Unknown,
    }
}

async fn serve<B, S>(
    shared: &Arc<Shared>,
    kind: Kind,
    mut call: Call,
    body: S,
) -> Result<Response, Refusal>
where
    B: Buf,
    S: Stream<Item = Result<B, warp::Error>>,
{
    match kind {
        Kind::Entry => entry(shared, &call),
        Kind::Chat => {
            call.body = body::read(body, &shared.settings.limits).await?;
            CHAT.apply(shared, &mut call)?;
            chat(shared, call).await
        }
        Kind::Service => {
            call.body = body::read(body, &shared.settings.limits).await?;
            SERVICE.apply(shared, &mut call).map_err(|it| before_key_check(&call, it))?;
            service(shared, call).await
        }
        Kind::NewKey => new_key(shared, &mut call),
        Kind::Stream => {
            STREAM.apply(shared, &mut call)?;
            resume(shared, &call).await
        }
        Kind::Unknown => {
            let message = format!("unknown call `{} {}`", call.method, call.path);
            Err(Refusal::not_run(Reason::UnknownCall, message))
        }
    }
}

/// The answer to a request that warp could not parse.
fn malformed_request() -> Response {
    Refusal::not_run(Reason::BadRequest, "the request is malformed").reply("").into_response()
}
