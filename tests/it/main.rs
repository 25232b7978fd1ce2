//! Tests of whole routers and of every concept.

mod admission;
mod answers;
mod attack;
mod capacity;
mod control;
mod decide;
mod decoders;
mod events;
mod fake;
mod fault;
mod leaving;
mod load;
mod measure;
mod membership;
mod metrics;
mod model;
mod once;
mod outlier;
mod path;
mod settings;
mod state;
mod storm;
mod support;
mod suspect;
mod timeline;
