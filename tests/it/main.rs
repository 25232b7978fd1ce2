//! Tests of whole routers and of every concept.

mod admission;
mod answers;
mod capacity;
mod control;
mod decide;
mod events;
mod fault;
mod load;
mod measure;
mod membership;
mod metrics;
mod once;
mod path;
mod settings;
mod state;
mod timeline;
