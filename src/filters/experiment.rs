//! Experiments: a share of chats uses another model, adapter or routing policy.

use crate::decide::takes_part;
use crate::filters::{Call, Refusal, Shared};
use crate::state::ExperimentSpec;

/// Name of the arm of chats that do not take part.
const CONTROL_ARM: &str = "control";
/// Name of the arm of chats that take part.
const TEST_ARM: &str = "test";

plain! {
    /// The experiment that a request counts towards.
    pub struct Arm {
        /// Name of the experiment.
        pub experiment: String,
        /// `test` or `control`.
        pub name: &'static str,
    }
}

/// Finds the arms of the request. In name order, it takes part in the first
/// experiment that covers it and selects its chat, and is in the control arm of
/// the covering experiments before that one.
pub(crate) fn experiment(_: &Shared, call: &mut Call) -> Result<(), Refusal> {
    let Some(request) = &mut call.request else {
        return Ok(());
    };
    for (name, spec) in call.view.state.experiments() {
        if !covers(spec, &call.organisation, &request.model) {
            continue;
        }
        let test = takes_part(name, call.chat, spec.share);
        if test && !spec.target.is_empty() {
            request.model.clone_from(&spec.target);
        }
        if test && !spec.policy.is_empty() {
            call.policy = Some(spec.policy.clone());
        }
        let arm = if test { TEST_ARM } else { CONTROL_ARM };
        call.arms.push(Arm { experiment: name.to_owned(), name: arm });
        if test {
            return Ok(());
        }
    }
    Ok(())
}

fn covers(spec: &ExperimentSpec, organisation: &str, model: &str) -> bool {
    let everyone = spec.organisation.is_empty();
    (everyone || spec.organisation == organisation) && spec.model == model
}
