//! Finds the pool that a request goes to.

use crate::filters::{Call, Reason, Refusal, Shared, Target, service_path};
use crate::state::InForce;
use crate::wire::ChatRequest;

/// Reads the body of a chat request.
pub(crate) fn parse_chat(shared: &Shared, call: &mut Call) -> Result<(), Refusal> {
    let refuse = |message| Err(Refusal::not_run(Reason::BadRequest, message));
    let mut source = serde_json::Deserializer::from_slice(&call.body);
    let request: ChatRequest = match serde_path_to_error::deserialize(&mut source) {
        Ok(it) => it,
        Err(e) => return refuse(format!("the body is invalid at `{}`: {}", e.path(), e.inner())),
    };
    if let Err(e) = source.end() {
        return refuse(format!("the body is invalid: {e}"));
    }
    if request.messages.is_empty() {
        return refuse("`messages` must not be empty".to_owned());
    }
    let max_messages = shared.settings.limits.messages;
    if request.messages.len() > max_messages {
        return refuse(format!("`messages` may have at most {max_messages} entries"));
    }
    call.request = Some(request);
    Ok(())
}

/// Finds the pool of the model that a chat request asks for.
pub(crate) fn resolve_model(_: &Shared, call: &mut Call) -> Result<(), Refusal> {
    let Some(request) = &call.request else {
        return Err(Refusal::not_run(Reason::BadRequest, "the body is missing"));
    };
    match model_target(&call.view.state, &request.model) {
        Some(target) => {
            call.target = target;
            Ok(())
        }
        None => {
            let message = format!("model `{}` is not in force", request.model);
            Err(Refusal::not_run(Reason::UnknownTarget, message))
        }
    }
}

/// Pool of the model or adapter `requested`, which may end in `@version`, and its name
/// with version.
fn model_target(state: &InForce, requested: &str) -> Option<Target> {
    let (name, version) = requested.split_once('@').unwrap_or((requested, ""));
    let with_version = |name: &str, in_force: &str| {
        with_version(name, if version.is_empty() { in_force } else { version })
    };
    if let Some(model) = state.model(name) {
        let name = with_version(name, &model.version);
        return Some(Target::Model { pool: model.pool.clone(), name });
    }
    let adapter = state.adapter(name)?;
    let model = state.model(&adapter.model)?;
    let name = with_version(name, &adapter.version);
    Some(Target::Model { pool: model.pool.clone(), name })
}

fn with_version(name: &str, version: &str) -> String {
    if version.is_empty() { name.to_owned() } else { format!("{name}@{version}") }
}

/// Finds the pool of a service that runs no model: the first path segment after
/// `/v1/services/` names the service, the rest is the path sent to the service.
pub(crate) fn resolve_service(_: &Shared, call: &mut Call) -> Result<(), Refusal> {
    let rest = call.path.strip_prefix("/v1/services/").unwrap_or_default();
    let (name, path) = rest.split_once('/').unwrap_or((rest, ""));
    let Some(service) = call.view.state.service(name) else {
        let message = format!("service `{name}` is not in force");
        return Err(Refusal::not_run(Reason::UnknownTarget, message));
    };
    let path = format!("/{path}");
    let decoded_path = service_path::decode(&path)
        .map_err(|message| Refusal::not_run(Reason::BadRequest, message))?;
    let once = service.once.iter().any(|it| decoded_path.starts_with(it.as_str()));
    let pool = service.pool.clone();
    let checks_keys = service.checks_keys;
    call.target = Target::Service { pool, once, name: name.to_owned(), checks_keys };
    call.path = path;
    Ok(())
}
