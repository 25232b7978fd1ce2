//! Time to account for what is read from and written to a client.

use std::net::IpAddr;
use std::sync::Arc;
use std::time::Instant;

use criterion::{Criterion, criterion_group, criterion_main};
use filberttiller::clock::SystemClock;
use filberttiller::events::discard_logger;
use filberttiller::intake::{Intake, IntakeLimits, Listener, OpenClient};
use prometheus::Registry;
use tokio::runtime::Builder;

fn open() -> OpenClient {
    let clock = Arc::new(SystemClock);
    let limits = IntakeLimits::default();
    let intake = Intake::new(limits, clock, discard_logger(), &Registry::new()).unwrap();
    let runtime = Builder::new_current_thread().enable_time().build().unwrap();
    let address = IpAddr::from([127, 0, 0, 1]);
    runtime.block_on(Arc::new(intake).open(Listener::Callers, address)).expect("there is room")
}

fn account(criterion: &mut Criterion) {
    let open = open();
    criterion.bench_function("read", |it| {
        it.iter(|| open.client().record_read(1, Instant::now()));
    });
    criterion.bench_function("write", |it| {
        it.iter(|| open.client().record_write(1, Instant::now()));
    });
}

criterion_group!(benches, account);
criterion_main!(benches);
