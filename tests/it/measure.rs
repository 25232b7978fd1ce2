//! Tests of measure.

use filberttiller::measure::{SHAPES, generate, measure, parse_trace, policy, replay, write_trace};
use rstest::rstest;

const HEAD: &str = r#"{"trace":"t","routers":2,"bound":1.25,"reuse_gap":3.0,"report_ms":500,"lag_ms":300,"list_ms":0,"sample_ms":250,"end_ms":60000}"#;
const JOIN: &str = r#"{"at_ms":0,"step":"join","engine":"e","domain":"a","slots":4,"cache":10000,"read":8000,"write":25}"#;

#[rstest]
#[case::empty("", "trace: it is empty")]
#[case::no_json("{", "trace line 1: EOF")]
#[case::no_routers(&HEAD.replace("\"routers\":2", "\"routers\":0"), "trace line 1: `routers`")]
#[case::unknown_step(&format!("{HEAD}\n{{\"at_ms\":0,\"step\":\"hop\"}}"), "trace line 2: unknown")]
#[case::unknown_engine(
    &format!("{HEAD}\n\n{{\"at_ms\":0,\"step\":\"leave\",\"engine\":\"x\"}}"),
    "trace line 3: engine `x`"
)]
#[case::backwards(
    &format!("{HEAD}\n{}\n{JOIN}", JOIN.replace("\"at_ms\":0", "\"at_ms\":5")),
    "trace line 3: `at_ms`"
)]
#[case::no_rate(&format!("{HEAD}\n{}", JOIN.replace("25}", "0}")), "trace line 2: `write`")]
#[case::long_answer(
    &format!("{HEAD}\n{JOIN}\n{}", r#"{"at_ms":1,"step":"ask","organisation":"o","chat":"c","prompt":5,"answer":9,"most":8}"#),
    "trace line 3: `answer`"
)]
fn parse_trace_names_the_line(#[case] text: &str, #[case] expected: &str) {
    let error = parse_trace(text).unwrap_err().to_string();
    assert!(error.starts_with(expected), "{error}");
}

#[test]
fn write_trace_reads_back() {
    let trace = generate(&SHAPES[1], 101);
    assert_eq!(parse_trace(&write_trace(&trace)), Ok(trace));
}

#[rstest]
#[case::head_only(HEAD)]
#[case::no_engine(&format!("{HEAD}\n{}", r#"{"at_ms":1,"step":"ask","organisation":"o","chat":"c","prompt":5,"answer":8,"most":8}"#))]
fn measure_survives_a_poor_trace(#[case] text: &str) {
    let trace = parse_trace(text).unwrap();
    for row in measure(&trace, &[]) {
        assert_eq!(row.reuse, 0.0);
    }
}

#[test]
fn measure_same_seed_same_bytes() {
    let run = || measure(&generate(&SHAPES[1], 102), &["v1".to_owned()]);
    assert_eq!(serde_json::to_string(&run()).unwrap(), serde_json::to_string(&run()).unwrap());
}

#[rstest]
fn replay_asks_end_once(#[values("all-knowing", "round-robin", "v1")] name: &str) {
    let trace = generate(&SHAPES[1], 103);
    let figures = replay(&trace, policy(name).unwrap());
    assert!(figures.done + figures.refused <= figures.requests);
    assert!(figures.done * 10 > figures.requests * 9, "{} of {}", figures.done, figures.requests);
    assert!(figures.cached <= figures.history);
}

#[rstest]
fn measure_reuse_is_within_the_stated_gap(#[values(101, 102, 103)] seed: u64) {
    for row in measure(&generate(&SHAPES[1], seed), &["v2".to_owned()]) {
        assert!(row.reuse_met, "{row:?}");
        assert_eq!(row.refused, 0);
    }
}

#[rstest]
fn measure_is_better_than_every_baseline(#[values(101, 102, 103)] seed: u64) {
    let rows = measure(&generate(&SHAPES[1], seed), &[]);
    let (ours, others): (Vec<_>, Vec<_>) = rows.iter().partition(|it| it.policy == "v2");
    for it in others.iter().filter(|it| it.policy != "all-knowing") {
        assert!(ours[0].reuse > it.reuse, "{it:?}");
        assert!(ours[0].skew_max < it.skew_max, "{it:?}");
        assert!(ours[0].above < it.above, "{it:?}");
    }
}
