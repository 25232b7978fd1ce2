//! Routes, keys, and the lease on a copy of the rules.

use std::time::Duration;

use filberttiller::rules::{
    Denied, Lease, Organisation, RequestLimits, Route, RouteKind, RuleSet, RulesCell, Target,
};
use rstest::rstest;
use smallvec::smallvec;

const fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

pub fn route(prefix: &str, targets: &[(&str, u32)]) -> Route {
    let target = |(service, weight): &(&str, u32)| Target {
        service: (*service).to_owned(),
        weight: *weight,
    };
    Route {
        name: prefix.to_owned(),
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        kind: RouteKind::Idempotent,
        resumable: false,
        timeout: seconds(2),
        objective: seconds(1),
        max_pause: seconds(1),
        attempts: 2,
        priority: 1,
        public: false,
        targets: targets.iter().map(target).collect(),
    }
}

fn set(version: u64, prefixes: &[&str]) -> RuleSet {
    let mut rules = RuleSet::new(version, RequestLimits::default());
    for prefix in prefixes {
        rules.add_route(route(prefix, &[("s", 1)]));
    }
    rules
}

#[rstest]
#[case::longest("/a/b/c", Some("/a/b/"))]
#[case::exact("/a/b/", Some("/a/b/"))]
#[case::shorter("/a/x", Some("/a/"))]
#[case::partial_segment("/a/bc", Some("/a/"))]
#[case::root("/z", Some("/"))]
#[case::encoded_slash("/a%2Fb/", Some("/"))]
fn route_longest_prefix(#[case] path: &str, #[case] expected: Option<&str>) {
    let rules = set(1, &["/", "/a/", "/a/b/"]);
    assert_eq!(rules.route("h", path).map(|it| it.prefix.as_str()), expected);
    assert!(rules.route("other", path).is_none());
}

#[rstest]
#[case::most_urgent(0, Some(300))]
#[case::less_urgent(1, Some(300))]
#[case::least_urgent(9, Some(200))]
fn min_objective_by_rank(#[case] rank: u8, #[case] millis: Option<u64>) {
    let mut rules = RuleSet::new(1, RequestLimits::default());
    for (prefix, priority, objective) in [("/a/", 0, 300), ("/b/", 1, 600), ("/c/", 2, 200)] {
        let mut it = route(prefix, &[("s", 1), ("other", 1)]);
        it.priority = priority;
        it.objective = Duration::from_millis(objective);
        rules.add_route(it);
    }
    assert_eq!(rules.min_objective("s", rank), millis.map(Duration::from_millis));
    assert_eq!(rules.min_objective("none", rank), None);
}

#[test]
fn allow_key_and_public() {
    let mut rules = set(1, &["/a/"]);
    let mut open = route("/open/", &[("s", 1)]);
    open.public = true;
    rules.add_route(open);
    assert!(
        rules.allow("h", "/a/", None).is_ok(),
        "no key is needed while there are no organisations"
    );
    rules.require_keys();
    assert_eq!(rules.allow("h", "/a/", None).unwrap_err(), Denied::NoOrganisation);
    let organisation = Organisation { name: "o".to_owned(), priority: None };
    rules.add_organisation(organisation, ["k1".to_owned(), "k2".to_owned()]);
    assert_eq!(rules.allow("h", "/a/", Some("k2")).unwrap().1.unwrap().name, "o");
    assert_eq!(rules.allow("h", "/a/", Some("k3")).unwrap_err(), Denied::NoOrganisation);
    assert!(rules.allow("h", "/open/", None).unwrap().1.is_none());
}

#[test]
fn target_split_by_weight() {
    let mut split = route("/", &[("a", 3), ("b", 0), ("c", 1)]);
    let count =
        |route: &Route, name| (0..4_000).filter(|it| route.target(*it) == Some(name)).count();
    assert_eq!((count(&split, "a"), count(&split, "b"), count(&split, "c")), (3_000, 0, 1_000));
    split.targets = smallvec![];
    assert_eq!(split.target(7), None);
}

#[test]
fn advance_ignores_older() {
    let cell = RulesCell::default();
    assert!(cell.load().is_none());
    assert!(cell.advance(set(4, &[])));
    assert!(!cell.advance(set(4, &["/new/"])));
    assert!(!cell.advance(set(3, &[])));
    assert!(cell.advance(set(9, &[])));
    assert_eq!(cell.load().unwrap().version, 9);
}

#[test]
fn lease_age_from_sending() {
    let lease = Lease::default();
    assert!(!lease.holds(seconds(1), seconds(100)), "no read has succeeded yet");
    lease.renew(seconds(10));
    assert!(lease.holds(seconds(14), seconds(5)));
    assert!(!lease.holds(seconds(15), seconds(5)));
    // A read that was sent earlier but answered later does not extend the lease.
    lease.renew(seconds(8));
    assert_eq!(lease.age(seconds(12)), Some(seconds(2)));
}

#[test]
fn lease_expires_while_suspended() {
    // Unlike the monotonic clock, time since boot includes suspensions.
    let lease = Lease::default();
    lease.renew(seconds(10));
    let woken = seconds(10) + seconds(30);
    assert!(!lease.holds(woken, seconds(5)));
}
