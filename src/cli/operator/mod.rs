//! Commands of the operators' program.

mod args;
mod capacity;
mod client;
mod demo;
mod in_force;
mod init;
mod load;
mod logs;
mod measure;
mod run;
mod spread;
mod standins;
mod status;
mod ticket;
mod timeline;

pub use run::run;
