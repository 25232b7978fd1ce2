//! HTTP API of the engine.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{Stream, stream};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::sleep;
use warp::filters::BoxedFilter;
use warp::http::{Response, StatusCode};
use warp::{Filter, Reply, sse};

use crate::engine::engine::Core;
use crate::engine::feed::{End, Feed, Piece};
use crate::engine::generate;
use crate::engine::job::{ChatRequest, Job};
use crate::engine::{Faults, OrderRequest};
use crate::server::{bad_request, json_reply, not_found, status_reply};

/// Response header of an engine that is leaving.
const STANDING_HEADER: &str = "filberttiller-standing";
/// Time for buffered bytes to be sent before a connection is closed.
const FLUSH_TIME: Duration = Duration::from_millis(5);

#[derive(Debug, Deserialize)]
struct EventQuery {
    #[serde(default)]
    from: u64,
}

/// KV cache of one prompt, as its block hashes.
#[derive(Debug, Serialize, Deserialize)]
struct KvBlocks {
    blocks: Vec<u64>,
}

/// A registered reader of a feed; unregistered when dropped.
struct Reader {
    feed: Arc<Feed>,
}

impl Reader {
    fn new(feed: Arc<Feed>) -> Reader {
        feed.add_reader();
        Reader { feed }
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        self.feed.remove_reader();
    }
}

/// All routes of an engine.
pub(crate) fn routes(
    core: &Arc<Core>,
) -> impl Filter<Extract = (impl Reply + use<>,), Error = Infallible>
+ Clone
+ Send
+ Sync
+ 'static
+ use<> {
    request_routes(core).or(control_routes(core)).recover(not_found)
}

/// Routes for chat requests, stream resumption and cancellation.
fn request_routes(core: &Arc<Core>) -> BoxedFilter<(warp::reply::Response,)> {
    let it = Arc::clone(core);
    let chat = warp::post()
        .and(warp::path!("v1" / "chat" / "completions"))
        .and(warp::header::optional("x-request-id"))
        .and(warp::body::json())
        .then(move |id: Option<String>, body: ChatRequest| chat(Arc::clone(&it), id, body));
    let it = Arc::clone(core);
    let resume = warp::get()
        .and(warp::path!("v1" / "streams" / String))
        .and(warp::header::optional("last-event-id"))
        .map(move |id: String, last: Option<u32>| resume(&it, &id, last));
    let it = Arc::clone(core);
    let cancel =
        warp::delete().and(warp::path!("v1" / "requests" / String)).map(move |id: String| {
            let feed = it.state().streams.remove(&id);
            let found = feed.is_some();
            if let Some(feed) = feed {
                feed.finish(End::Aborted);
            }
            json_reply(StatusCode::OK, &json!({ "cancelled": found })).into_response()
        });
    chat.or(resume).unify().or(cancel).unify().boxed()
}

/// Routes for load, cache, orders and faults.
fn control_routes(core: &Arc<Core>) -> BoxedFilter<(Response<Bytes>,)> {
    let it = Arc::clone(core);
    let load = warp::get()
        .and(warp::path!("load"))
        .map(move || json_reply(StatusCode::OK, &it.lagged_report()));
    let it = Arc::clone(core);
    let events = warp::get()
        .and(warp::path!("cache-events"))
        .and(warp::query())
        .map(move |query: EventQuery| json_reply(StatusCode::OK, &it.events(query.from)));
    let it = Arc::clone(core);
    let import =
        warp::put().and(warp::path!("kv")).and(warp::body::json()).map(move |blocks: KvBlocks| {
            it.state().cache.store(&blocks.blocks);
            json_reply(StatusCode::OK, &json!({ "imported": blocks.blocks.len() }))
        });
    let it = Arc::clone(core);
    let export = warp::post().and(warp::path!("kv" / "export")).and(warp::body::json()).map(
        move |wanted: KvBlocks| {
            let hits = it.state().cache.hits(&wanted.blocks);
            let blocks = wanted.blocks[..hits].to_vec();
            json_reply(StatusCode::OK, &KvBlocks { blocks })
        },
    );
    let it = Arc::clone(core);
    let order = warp::post()
        .and(warp::path!("orders"))
        .and(warp::body::json())
        .then(move |request: OrderRequest| order(Arc::clone(&it), request));
    let it = Arc::clone(core);
    let faults = warp::post().and(warp::path!("faults")).and(warp::body::json()).map(
        move |faults: Faults| {
            it.state().faults = faults;
            json_reply(StatusCode::OK, &true)
        },
    );
    load.or(events)
        .unify()
        .or(import)
        .unify()
        .or(export)
        .unify()
        .or(order)
        .unify()
        .or(faults)
        .unify()
        .boxed()
}

async fn order(core: Arc<Core>, request: OrderRequest) -> Response<Bytes> {
    let result = core.order(request);
    let lost = {
        let faults = &mut core.state().faults;
        let lost = faults.lost_orders > 0;
        faults.lost_orders = faults.lost_orders.saturating_sub(1);
        lost
    };
    if lost {
        std::future::pending::<()>().await;
    }
    match result {
        Ok(()) => json_reply(StatusCode::OK, &json!({ "taken": true })),
        Err(seen) => json_reply(StatusCode::CONFLICT, &json!({ "fencing": seen })),
    }
}

async fn chat(core: Arc<Core>, id: Option<String>, body: ChatRequest) -> warp::reply::Response {
    let faults = core.state().faults.clone();
    if faults.refuse {
        return status_reply(StatusCode::SERVICE_UNAVAILABLE, "not taking requests")
            .into_response();
    }
    if faults.leaving {
        let reply = status_reply(StatusCode::SERVICE_UNAVAILABLE, "leaving");
        return warp::reply::with_header(reply, STANDING_HEADER, "leaving").into_response();
    }
    if faults.hang {
        std::future::pending::<()>().await;
    }
    if !core.serves(&body.model) {
        return status_reply(StatusCode::NOT_FOUND, "model is not loaded").into_response();
    }
    let Some(id) = id else {
        return bad_request("x-request-id is missing").into_response();
    };
    let job = Job {
        id: id.clone(),
        model: body.model.clone(),
        prompt: body.prompt(),
        tokens: body.max_tokens,
        priority: body.priority,
    };
    let feed = generate::start(&core, job);
    let id = if faults.wrong_id { format!("{id}-other") } else { id };
    if body.stream {
        return sse_reply(&faults, id, body.model, feed, 0);
    }
    complete_answer(&feed, &id, &body.model).await
}

/// Collects the complete answer; an aborted one becomes status 502.
async fn complete_answer(feed: &Arc<Feed>, id: &str, model: &str) -> warp::reply::Response {
    let _reader = Reader::new(Arc::clone(feed));
    let mut text = String::new();
    let mut count = 0;
    loop {
        match feed.next(count).await {
            Piece::Token(_, token) => {
                text.push_str(&token);
                count += 1;
            }
            Piece::End(End::Aborted, _) => {
                return status_reply(StatusCode::BAD_GATEWAY, "generation was cut off")
                    .into_response();
            }
            Piece::End(End::Complete, usage) => {
                let body = json!({
                    "id": id,
                    "object": "chat.completion",
                    "model": model,
                    "choices": [{
                        "index": 0,
                        "message": { "role": "assistant", "content": text },
                        "finish_reason": "length",
                    }],
                    "usage": {
                        "prompt_tokens": usage.prompt,
                        "completion_tokens": count,
                        "total_tokens": usage.prompt + count,
                        "prompt_tokens_details": { "cached_tokens": usage.cached },
                    },
                });
                return json_reply(StatusCode::OK, &body).into_response();
            }
        }
    }
}

fn resume(core: &Arc<Core>, id: &str, last: Option<u32>) -> warp::reply::Response {
    let (feed, faults) = {
        let state = core.state();
        (state.streams.get(id).cloned(), state.faults.clone())
    };
    match feed {
        Some(feed) => {
            let from = last.map_or(0, |it| it as usize + 1);
            sse_reply(&faults, id.to_owned(), String::new(), feed, from)
        }
        None => status_reply(StatusCode::NOT_FOUND, "no such stream").into_response(),
    }
}

/// Streams the feed from token `from` on, then the final chunk and the `[DONE]` mark.
fn sse_reply(
    faults: &Faults,
    id: String,
    model: String,
    feed: Arc<Feed>,
    from: usize,
) -> warp::reply::Response {
    let events = events(faults.clone(), id, model, Reader::new(feed), from);
    let mut reply = sse::reply(events).into_response();
    reply.headers_mut().remove("transfer-encoding");
    reply
}

/// State of one event stream.
struct Cursor {
    faults: Faults,
    id: String,
    model: String,
    reader: Reader,
    index: usize,
    /// Number of tokens sent on this connection.
    sent: u32,
    repeated: bool,
    stage: Stage,
}

enum Stage {
    Tokens,
    Done,
    Ended,
}

fn events(
    faults: Faults,
    id: String,
    model: String,
    reader: Reader,
    from: usize,
) -> impl Stream<Item = Result<sse::Event, std::io::Error>> + Send {
    let cursor = Cursor {
        faults,
        id,
        model,
        reader,
        index: from,
        sent: 0,
        repeated: false,
        stage: Stage::Tokens,
    };
    stream::unfold(cursor, |mut it| async move {
        match it.stage {
            Stage::Tokens => {
                let event = it.next().await;
                Some((event, it))
            }
            Stage::Done => {
                it.stage = Stage::Ended;
                Some((Ok(sse::Event::default().data("[DONE]")), it))
            }
            Stage::Ended => None,
        }
    })
}

impl Cursor {
    async fn next(&mut self) -> Result<sse::Event, std::io::Error> {
        if self.faults.skip_token && self.index == 1 {
            self.index += 1;
        }
        if self.faults.drop_after.is_some_and(|it| self.sent >= it) {
            self.stage = Stage::Ended;
            sleep(FLUSH_TIME).await;
            return Err(std::io::Error::other("the connection was cut"));
        }
        match self.reader.feed.next(self.index).await {
            Piece::Token(i, token) => {
                self.sent += 1;
                self.advance();
                let chunk = json!({
                    "id": self.id,
                    "object": "chat.completion.chunk",
                    "model": self.model,
                    "choices": [{ "index": 0, "delta": { "content": token }, "finish_reason": null }],
                });
                Ok(sse::Event::default().id(i.to_string()).data(chunk.to_string()))
            }
            Piece::End(End::Complete, usage) => {
                self.stage = Stage::Done;
                let chunk = json!({
                    "id": self.id,
                    "object": "chat.completion.chunk",
                    "model": self.model,
                    "choices": [{ "index": 0, "delta": {}, "finish_reason": "length" }],
                    "usage": {
                        "prompt_tokens": usage.prompt,
                        "completion_tokens": self.index,
                        "prompt_tokens_details": { "cached_tokens": usage.cached },
                    },
                });
                Ok(sse::Event::default().id(self.index.to_string()).data(chunk.to_string()))
            }
            Piece::End(End::Aborted, _) => {
                self.stage = Stage::Ended;
                Err(std::io::Error::other("generation was cut off"))
            }
        }
    }

    fn advance(&mut self) {
        let again = self.faults.repeat_token && self.index == 1 && !self.repeated;
        if again {
            self.repeated = true;
        } else {
            self.index += 1;
        }
    }
}
