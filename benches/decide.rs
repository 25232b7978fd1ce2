//! Time and allocations of one placement.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use filberttiller::decide::{
    Engine, Lane, PlaceQuery, SentTokens, Standing, WaitQueue, combine, place,
};

/// Number of decisions over which allocations are counted.
const DECISIONS: u64 = 10_000;

static ALLOCATIONS: AtomicU64 = AtomicU64::new(0);

/// The system allocator with a count of the allocations.
struct CountingAllocator;

unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        ALLOCATIONS.fetch_add(1, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, ptr: *mut u8, layout: Layout) {
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

fn engines(count: u64) -> Vec<Engine> {
    let engine = |i: u64| Engine {
        id: combine(7, i),
        incarnation: 1,
        weight: if i.is_multiple_of(5) { 128.0 } else { 64.0 },
        leaving: i % 50 == 49,
        reported: 10_000 + combine(9, i) % 4_000,
        sent: Arc::new(SentTokens::default()),
    };
    (0..count).map(engine).collect()
}

fn query(key: u64, hint: Option<(u64, u64)>) -> PlaceQuery<'static> {
    PlaceQuery { key, hint, cost: 900, warm_cost: 400, bound: 1.25, attempted: &[] }
}

fn decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    for count in [20, 790, 5_000] {
        let engines = engines(count);
        let mut key = 0;
        group.bench_function(BenchmarkId::new("new chat", count), |b| {
            b.iter(|| {
                key += 1;
                place(black_box(&engines), &query(combine(key, 1), None))
            });
        });
        group.bench_function(BenchmarkId::new("returning chat", count), |b| {
            b.iter(|| {
                key += 1;
                let home = &engines[(key % count) as usize];
                place(black_box(&engines), &query(key, Some((home.id, home.incarnation))))
            });
        });
        let before = ALLOCATIONS.load(Ordering::Relaxed);
        for key in 0..DECISIONS {
            black_box(place(&engines, &query(combine(key, 2), None)));
        }
        let made = ALLOCATIONS.load(Ordering::Relaxed) - before;
        println!("allocations in {DECISIONS} decisions among {count} engines: {made}");
    }
    group.finish();
}

fn waiting(c: &mut Criterion) {
    let lane = |at: u64| Lane::new((at % 3) as u8, Standing::New);
    let mut queue = WaitQueue::default();
    for at in 0..10_000 {
        queue.push(lane(at), at % 50, at);
    }
    let mut at = 0;
    c.bench_function("wait queue/push and pop, 10000 waiting", |b| {
        b.iter(|| {
            at += 1;
            queue.push(lane(at), at % 50, at);
            black_box(queue.ahead(lane(at), at % 50));
            black_box(queue.pop())
        });
    });
}

criterion_group!(benches, decisions, waiting);
criterion_main!(benches);
