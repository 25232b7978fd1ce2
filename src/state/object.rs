//! Objects that tickets change.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::state::spec::{
    AdapterSpec, ExperimentSpec, ModelSpec, OrganisationSpec, PolicySpec, ServiceSpec, SuspectSpec,
};

key! {
    /// Kinds of objects.
    #[derive(Serialize, Deserialize)]
    #[serde(rename_all = "snake_case")]
    pub enum Kind {
        /// A model and the pool that runs it.
        Model,
        /// An adapter on top of a model.
        Adapter,
        /// A plain service and the pool that runs it.
        Service,
        /// An organisation and its limits.
        Organisation,
        /// An experiment: a share of chats gets another model or policy.
        Experiment,
        /// Routing settings.
        Policy,
        /// A request suspected of crashing backend servers.
        Suspect,
    }
}

plain! {
    /// State of an object, by kind.
    pub enum Spec {
        /// A model.
        Model(ModelSpec),
        /// An adapter.
        Adapter(AdapterSpec),
        /// A plain service.
        Service(ServiceSpec),
        /// An organisation.
        Organisation(OrganisationSpec),
        /// An experiment.
        Experiment(ExperimentSpec),
        /// Routing settings.
        Policy(PolicySpec),
        /// A request suspected of crashing backend servers.
        Suspect(SuspectSpec),
    }

    /// One object with its complete new state.
    pub struct Object {
        /// Its kind.
        pub kind: Kind,
        /// Unique among objects of its kind.
        pub name: String,
        /// The new state; `None` removes the object. Invariant: of kind `kind`.
        pub spec: Option<Spec>,
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = match self {
            Kind::Model => "model",
            Kind::Adapter => "adapter",
            Kind::Service => "service",
            Kind::Organisation => "organisation",
            Kind::Experiment => "experiment",
            Kind::Policy => "policy",
            Kind::Suspect => "suspect",
        };
        f.write_str(name)
    }
}
