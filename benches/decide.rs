//! Time and allocations of one placement.

use std::alloc::{GlobalAlloc, Layout, System};
use std::hint::black_box;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use filberttiller::decide::{
    Candidate, Engine, Lane, LoadBound, PlaceQuery, RequestTokens, SentTokens, SharedPart,
    Standing, TokenLedger, TokenQuery, USUAL_PACE, WaitQueue, combine, pick, place,
};
use smallvec::smallvec;

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

/// Decisions among backend servers by load and tokens: the first choice stands, or another one has
/// to be found.
fn token_decisions(c: &mut Criterion) {
    const BOUND: LoadBound = LoadBound { factor: 1.5, extra: 2.0 };
    const SERVERS: u64 = 790;
    let candidate = |it: u64| Candidate {
        hash: combine(3, it),
        load: (combine(5, it) % 4) as u32,
        slots: 32,
        max_load: 48,
        pace: USUAL_PACE,
        closed: false,
    };
    let candidates: Vec<Candidate> = (0..SERVERS).map(candidate).collect();
    let ledgers: Vec<TokenLedger> = (0..SERVERS).map(|_| TokenLedger::default()).collect();
    let parts = smallvec![SharedPart { tag: 1, tokens: 10_000 }];
    let request = RequestTokens { unread: 11_800, held: 1_800, parts };
    let query = |key| TokenQuery {
        key,
        objective: Duration::from_millis(500),
        min_objective: Duration::from_millis(500),
        memory: 400_000,
    };
    let now = Instant::now();
    let decide = |key: u64, by_tokens: bool| {
        let first = pick(black_box(&candidates), Some(key), 0.0, &BOUND, key)?;
        let place = |at: usize| ledgers[at].place(&request, Some(68_000.0), now);
        if by_tokens { query(key).choose(&candidates, first, &BOUND, place) } else { Some(first) }
    };
    let mut group = c.benchmark_group("tokens");
    let mut key = 0;
    let mut next = move || {
        key += 1;
        combine(key, 1)
    };
    group.bench_function("by load alone", |b| b.iter(|| decide(next(), false)));
    group.bench_function("first choice stands", |b| b.iter(|| decide(next(), true)));
    ledgers.iter().for_each(|it| (0..3).for_each(|_| it.begin(&request)));
    group.bench_function("all have to read", |b| b.iter(|| decide(next(), true)));
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

criterion_group!(benches, decisions, token_decisions, waiting);
criterion_main!(benches);
