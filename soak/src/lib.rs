//! A randomised soak test: router processes in front of stand-ins on loopback, faults
//! injected from outside, and checks of the routers' guarantees against what callers and
//! backend servers see.

mod callers;
mod checks;
mod faults;
mod fleet;
mod programs;
mod report;
mod router_process;
mod run;
mod stepped_clock;

pub use programs::Programs;
pub use report::Report;
pub use run::{Options, run};
pub use stepped_clock::{SteppedClock, Steps};
