//! Benchmarks of the capacity model: each measures a cost at several input sizes.

use std::future::Future;
use std::pin::Pin;

use crate::capacity::{Slope, least_squares, network, orders, samples, streams};

/// Runs of each probe at each size; the minimum of each metric counts.
const RUNS: usize = 5;

wire! {
    /// The result of one measurement; parts that it does not measure are 0.
    #[derive(Copy, Default)]
    pub struct Sample {
        /// Heap in use, in bytes.
        pub bytes: f64,
        /// Wall-clock time in microseconds; processor time where the probe says so.
        pub micros: f64,
        /// Bytes on the wire, both directions, HTTP heads included.
        pub wire: f64,
    }
}

/// A future that takes a sample.
pub(crate) type SampleFuture = Pin<Box<dyn Future<Output = Sample>>>;

/// A measurement that runs at several sizes.
#[derive(Debug, Clone, Copy)]
pub struct Probe {
    /// Name in the table of fitted slopes.
    pub name: &'static str,
    /// What one unit of size is.
    pub unit: &'static str,
    /// Sizes to measure at; at least three sizes, as the line fit needs them.
    pub sizes: &'static [usize],
    /// Takes a sample at one size.
    pub take: fn(usize) -> SampleFuture,
}

/// All probes.
pub const PROBES: &[Probe] = &[
    Probe {
        name: "fold_tickets",
        unit: "ticket",
        sizes: &[8_000, 16_000, 24_000, 32_000],
        take: samples::fold_tickets,
    },
    Probe {
        name: "state_objects",
        unit: "object",
        sizes: &[500, 1_000, 2_000, 4_000],
        take: samples::state_objects,
    },
    Probe {
        name: "snapshot_objects",
        unit: "object",
        sizes: &[500, 1_000, 2_000, 4_000],
        take: samples::snapshot_objects,
    },
    Probe {
        name: "publish_engines",
        unit: "engine",
        sizes: &[100, 200, 400, 800],
        take: samples::publish_engines,
    },
    Probe {
        name: "publish_routers",
        unit: "router",
        sizes: &[100, 200, 400, 800],
        take: samples::publish_routers,
    },
    Probe {
        name: "publish_objects",
        unit: "object",
        sizes: &[500, 1_000, 2_000, 4_000],
        take: samples::publish_objects,
    },
    Probe {
        name: "targets_engines",
        unit: "engine",
        sizes: &[100, 200, 400, 800],
        take: samples::targets_engines,
    },
    Probe {
        name: "round_routers",
        unit: "router",
        sizes: &[100, 200, 400, 800],
        take: samples::round_routers,
    },
    Probe {
        name: "message_loads",
        unit: "load row",
        sizes: &[2, 4, 6, 8],
        take: samples::message_loads,
    },
    Probe {
        name: "chat_table",
        unit: "chat",
        sizes: &[16_384, 32_768, 65_536, 131_072],
        take: samples::chat_table,
    },
    Probe {
        name: "place_engines",
        unit: "engine",
        sizes: &[100, 200, 400, 800],
        take: samples::place_engines,
    },
    Probe {
        name: "entry_routers",
        unit: "router",
        sizes: &[100, 200, 400, 800],
        take: samples::entry_routers,
    },
    Probe {
        name: "ring_events",
        unit: "event",
        sizes: &[512, 1_024, 2_048, 4_096],
        take: samples::ring_events,
    },
    Probe {
        name: "poll_engines",
        unit: "engine",
        sizes: &[4, 8, 16, 32],
        take: network::poll_engines,
    },
    Probe {
        name: "list_instances",
        unit: "instance",
        sizes: &[100, 200, 400, 800],
        take: network::list_instances,
    },
    Probe {
        name: "log_tickets",
        unit: "ticket",
        sizes: &[100, 200, 400, 800],
        take: network::log_tickets,
    },
    Probe {
        name: "receive_engines",
        unit: "engine",
        sizes: &[100, 200, 400, 800],
        take: samples::receive_engines,
    },
    Probe {
        name: "open_connections",
        unit: "connection",
        sizes: &[32, 64, 128, 256],
        take: streams::open_connections,
    },
    Probe {
        name: "open_streams",
        unit: "stream",
        sizes: &[16, 32, 64, 128],
        take: streams::open_streams,
    },
    Probe {
        name: "engine_streams",
        unit: "stream",
        sizes: &[16, 32, 64, 128],
        take: streams::engine_streams,
    },
    Probe {
        name: "relay_tokens",
        unit: "token",
        sizes: &[800, 1_600, 3_200, 6_400],
        take: streams::relay_tokens,
    },
    Probe { name: "order_calls", unit: "order", sizes: &[4, 8, 16, 32], take: orders::order_calls },
];

/// Runs `probe` at all its sizes and fits a line to each metric of the samples.
pub async fn measure(probe: &Probe) -> Slope {
    let mut points = Vec::new();
    for &size in probe.sizes {
        let mut min = (probe.take)(size).await;
        for _ in 1..RUNS {
            let it = (probe.take)(size).await;
            min.micros = min.micros.min(it.micros);
            min.bytes = min.bytes.min(it.bytes);
            min.wire = min.wire.min(it.wire);
        }
        points.push((size as f64, min));
    }
    let fit = |metric: fn(&Sample) -> f64| {
        let values: Vec<_> = points.iter().map(|(size, it)| (*size, metric(it))).collect();
        least_squares(&values).filter(|it| it.base != 0.0 || it.slope != 0.0)
    };
    Slope {
        name: probe.name.to_owned(),
        unit: probe.unit.to_owned(),
        sizes: probe.sizes.to_vec(),
        bytes: fit(|it| it.bytes),
        micros: fit(|it| it.micros),
        wire: fit(|it| it.wire),
    }
}
