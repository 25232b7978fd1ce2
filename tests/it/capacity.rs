//! Tests of slopes and of the capacity table computed from them.

use filberttiller::capacity::{PROBES, Role, Sizes, Slopes, figures, least_squares, measure};
use filberttiller::settings::StateSync;
use rstest::rstest;

#[test]
fn least_squares_exact() {
    let fit = least_squares(&[(1.0, 5.0), (2.0, 7.0), (4.0, 11.0)]).unwrap();
    assert!((fit.slope - 2.0).abs() < 1e-9 && (fit.base - 3.0).abs() < 1e-9);
    assert!(fit.residual < 1e-9);
}

#[test]
fn least_squares_residual() {
    let fit = least_squares(&[(0.0, 0.0), (1.0, 2.0), (2.0, 0.0)]).unwrap();
    assert!((fit.slope).abs() < 1e-9);
    assert!((fit.residual - 2.0 / 3.0).abs() < 1e-9, "{fit:?}");
}

#[rstest]
#[case::two_points(&[(1.0, 1.0), (2.0, 2.0)])]
#[case::one_size(&[(1.0, 1.0), (1.0, 2.0), (1.0, 3.0)])]
fn least_squares_needs_spread(#[case] points: &[(f64, f64)]) {
    assert_eq!(least_squares(points), None);
}

#[test]
fn recorded_slopes_match_probes() {
    let slopes = Slopes::recorded().unwrap();
    let names: Vec<_> = slopes.iter().map(|it| it.name.as_str()).collect();
    for probe in PROBES {
        assert!(names.contains(&probe.name), "no recorded slope for {}", probe.name);
        assert!(probe.sizes.len() >= 3);
    }
    assert_eq!(names.len(), PROBES.len());
}

#[test]
fn figures_finite_and_non_negative() {
    let slopes = Slopes::recorded().unwrap();
    for it in figures(&slopes, &Sizes::default(), &StateSync::default()) {
        assert!(it.value.is_finite() && it.value >= 0.0, "{it}");
    }
}

#[test]
fn figures_grow_with_workers() {
    let slopes = Slopes::recorded().unwrap();
    let bytes = |workers| {
        let sizes = Sizes { workers, ..Sizes::default() };
        let all = figures(&slopes, &sizes, &StateSync::default());
        let sum = all.into_iter().find(|it| it.role == Role::Bytes && it.what.contains("sum"));
        sum.unwrap().value
    };
    assert!(bytes(790.0) > bytes(12.0));
}

#[tokio::test]
async fn measure_counts_wire() {
    let probe = PROBES.iter().find(|it| it.name == "list_instances").unwrap();
    let slope = measure(probe).await;
    let fit = slope.wire.unwrap();
    assert!(fit.slope > 50.0 && fit.residual < 0.05, "{fit:?}");
}

#[test]
fn sizes_count_open_streams() {
    let sizes = Sizes {
        requests: 10.0,
        first_token: 2.0,
        tokens: 1_000.0,
        token_gap: 0.05,
        ..Sizes::default()
    };
    assert!((sizes.streams() - 70.0).abs() < 1e-9);
}

#[rstest]
#[case::processor_time("relay_tokens", 160)]
#[case::wall_time("receive_engines", 20)]
#[tokio::test]
async fn probe_measures_time(#[case] name: &str, #[case] size: usize) {
    let probe = PROBES.iter().find(|it| it.name == name).unwrap();
    assert!((probe.take)(size).await.micros > 0.0);
}
