//! Tests of whole routers and of every concept.

mod admission;
mod answers;
mod control;
mod decide;
mod events;
mod fault;
mod measure;
mod membership;
mod once;
mod path;
mod settings;
mod state;
mod timeline;
