//! What the system takes at a larger size, worked out from measured slopes.

mod fit;
mod network;
mod orders;
mod probe;
mod role;
mod samples;
mod sizes;
mod slope;
mod streams;
mod table;

pub use fit::{Fit, least_squares};
pub use probe::{PROBES, Probe, Sample, measure};
pub use role::Role;
pub use sizes::Sizes;
pub use slope::{RECORDED, Slope, Slopes};
pub use table::{Figure, Target, figures};
pub(crate) use table::{format_number, table_header};
