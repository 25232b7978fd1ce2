//! Lists of backend servers that routers take over from readers of the store: readers that
//! change, start together or lag.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use filberttiller::servers::{
    Change, ListCursor, Page, Position, ServerRecord, ServerState, ServerTable, StoreEra,
    TableRevision,
};
use rstest::rstest;

use crate::server_records::{gone, ids, put, ready, record};

fn at(era: u64, offset: u64) -> Position {
    Position { era: StoreEra::Number(era), offset }
}

/// A router that reads the store, and its address.
struct Reader {
    address: SocketAddr,
    table: ServerTable,
}

impl Reader {
    fn new(port: u16) -> Reader {
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        Reader { address, table: ServerTable::default() }
    }

    fn read(&mut self, changes: Vec<Change<ServerRecord>>, next: Position, is_complete: bool) {
        let page = Page { changes, next, is_complete, is_last: true };
        assert!(self.table.apply(page, Instant::now(), |_, _| {}));
    }
}

/// A router that polls readers.
#[derive(Default)]
struct Follower {
    table: ServerTable,
    cursor: ListCursor,
}

impl Follower {
    /// Returns whether what the reader supplied was current.
    fn poll(&mut self, reader: &Reader) -> bool {
        let changes = reader.table.since(self.cursor.known(reader.address));
        let change =
            |(key, record): (String, Option<ServerRecord>)| Change { key, value: record.map(Ok) };
        let page = Page {
            changes: changes.entries.into_iter().map(change).collect(),
            next: changes.position,
            is_complete: changes.is_complete,
            is_last: true,
        };
        let is_current = self.table.apply(page, Instant::now(), |_, _| {});
        if is_current {
            self.cursor.advance(reader.address, changes.revision);
        }
        is_current
    }
}

fn leaving(born: u64, sequence: u64) -> ServerRecord {
    record(born, sequence, ServerState::Leaving)
}

/// Guards against a leaving that is skipped as the follower changes to another reader, which
/// started in the same millisecond and has counted more changes (DRAIN).
#[test]
fn poll_other_reader_lists_all() {
    let (mut first, mut second) = (Reader::new(1), Reader::new(2));
    first.read(vec![put("a", ready(1, 1)), put("b", ready(1, 1))], at(0, 2), true);
    // It has seen more changes of the same servers.
    second.read(vec![put("a", leaving(1, 0)), put("b", ready(1, 0))], at(0, 0), true);
    second.read(vec![put("a", ready(1, 1)), put("b", ready(1, 1))], at(0, 2), false);
    let mut follower = Follower::default();
    follower.poll(&second);
    first.read(vec![put("a", leaving(1, 2))], at(0, 3), false);
    second.read(vec![put("a", leaving(1, 2))], at(0, 3), false);
    follower.poll(&first);
    assert_eq!(ids(&follower.table), ["b"]);
}

/// Two tables never take each other's revisions for their own.
#[test]
fn since_revision_of_other_table() {
    let (mut first, mut second) = (Reader::new(1), Reader::new(2));
    for it in [&mut first, &mut second] {
        it.read(vec![put("a", ready(1, 1))], at(0, 1), true);
    }
    let known = first.table.since(TableRevision::default()).revision;
    assert!(!first.table.since(known).is_complete);
    assert!(second.table.since(known).is_complete);
}

/// Readers of earlier versions name their tables by start time, which several share.
#[test]
fn known_other_reader_forgotten() {
    let (first, second) = (Reader::new(1), Reader::new(2));
    let revision = TableRevision { table: 1_000, number: 7 };
    let mut cursor = ListCursor::default();
    cursor.advance(first.address, revision);
    assert_eq!(cursor.known(first.address), revision);
    assert_eq!(cursor.known(second.address), TableRevision::default());
}

/// Guards against a reader that lags behind another one and undoes what the follower knows.
#[rstest]
#[case::server_joined(vec![put("b", ready(1, 1))], &["a", "b"])]
#[case::server_left(vec![put("a", leaving(1, 2))], &[])]
#[case::server_removed(vec![gone("a")], &[])]
#[case::server_restarted(vec![gone("a"), put("a", ready(2, 1))], &["a"])]
fn poll_lagging_reader_undoes_nothing(
    #[case] changes: Vec<Change<ServerRecord>>,
    #[case] expected: &[&str],
) {
    let (mut first, mut second) = (Reader::new(1), Reader::new(2));
    first.read(vec![put("a", ready(1, 1))], at(0, 1), true);
    second.read(vec![put("a", ready(1, 1))], at(0, 1), true);
    first.read(changes.clone(), at(0, 3), false);
    let mut follower = Follower::default();
    follower.poll(&first);
    assert!(!follower.poll(&second), "the reader lags");
    assert_eq!(ids(&follower.table), expected);
    second.read(changes, at(0, 3), false);
    assert!(follower.poll(&second));
    assert_eq!(ids(&follower.table), expected, "the reader has caught up");
}

/// Guards against a removal that a lagging reader tells after the follower, which read the store
/// itself for a moment, has seen the server's next incarnation.
#[test]
fn poll_removal_before_own_read() {
    let mut reader = Reader::new(1);
    reader.read(vec![put("a", ready(1, 1))], at(0, 1), true);
    let mut follower = Follower::default();
    follower.poll(&reader);
    reader.read(vec![gone("a")], at(0, 2), false);
    let restarted = vec![put("a", ready(2, 1))];
    let page =
        Page { changes: restarted.clone(), next: at(0, 3), is_complete: true, is_last: true };
    follower.table.apply(page, Instant::now(), |_, _| {});
    assert!(!follower.poll(&reader));
    assert_eq!(ids(&follower.table), ["a"]);
    reader.read(restarted, at(0, 3), false);
    assert!(follower.poll(&reader));
    assert_eq!(ids(&follower.table), ["a"]);
}

impl Follower {
    /// This router serves others, as a reader does.
    fn into_reader(self, port: u16) -> Reader {
        Reader { table: self.table, ..Reader::new(port) }
    }
}

/// A reader that was cut off from the store and keeps what is gone for a while.
fn reader_after_outage() -> Reader {
    let mut reader = Reader::new(1);
    reader.read(vec![put("a", ready(1, 1)), put("b", ready(1, 1))], at(0, 2), true);
    let now = Instant::now();
    reader.table.source_recovered(now, now + Duration::from_secs(2));
    reader
}

/// Guards against routers that go on sending to a server that is gone, as the reader that they poll
/// was cut off itself and expects its record back (DRAIN).
#[rstest]
#[case::change(false)]
#[case::first_list(true)]
fn poll_reader_after_its_outage(#[case] is_first: bool) {
    let mut reader = reader_after_outage();
    let mut followers = [Follower::default(), Follower::default()];
    if !is_first {
        assert!(followers.iter_mut().all(|it| it.poll(&reader)));
    }
    reader.read(vec![gone("a")], at(0, 3), false);
    assert_eq!(ids(&reader.table), ["a", "b"], "its own outage excuses it");
    assert!(followers.iter_mut().all(|it| it.poll(&reader)));
    followers.iter().for_each(|it| assert_eq!(ids(&it.table), ["b"]));
    reader.read(vec![put("a", ready(1, 9))], at(0, 4), false);
    assert!(followers.iter_mut().all(|it| it.poll(&reader)));
    followers.iter().for_each(|it| assert_eq!(ids(&it.table), ["a", "b"], "its record is back"));
}

/// A router that noticed the outage itself expects the record back too, and tells no other router
/// so.
#[test]
fn poll_after_own_outage() {
    let mut reader = reader_after_outage();
    let mut follower = Follower::default();
    follower.poll(&reader);
    let now = Instant::now();
    follower.table.source_recovered(now, now + Duration::from_secs(2));
    reader.read(vec![gone("a")], at(0, 3), false);
    follower.poll(&reader);
    assert_eq!(ids(&follower.table), ["a", "b"]);
    let mut last = Follower::default();
    last.poll(&follower.into_reader(2));
    assert_eq!(ids(&last.table), ["b"]);
}

/// Once the reader gives the server up, those who poll it have nothing more to learn.
#[test]
fn poll_after_retention() {
    let mut reader = reader_after_outage();
    let mut follower = Follower::default();
    reader.read(vec![gone("a")], at(0, 3), false);
    follower.poll(&reader);
    reader.table.expire(Instant::now() + Duration::from_secs(3), |_, _| {});
    follower.poll(&reader);
    assert_eq!(ids(&reader.table), ["b"]);
    assert_eq!(ids(&follower.table), ["b"]);
}

/// A restored store gives positions out again: what was read of it since is not older.
#[rstest]
#[case::restored(at(1, 2), true)]
#[case::before_restoration(at(0, 9), true)]
#[case::same(at(0, 5), true)]
#[case::older(at(0, 4), false)]
#[case::unknown(Position::default(), true)]
#[case::era_not_told(Position { era: StoreEra::Unnamed, offset: 2 }, true)]
fn apply_position(#[case] next: Position, #[case] is_applied: bool) {
    let mut reader = Reader::new(1);
    reader.read(vec![put("a", ready(1, 1))], at(0, 5), true);
    let page = Page { changes: vec![gone("a")], next, is_complete: false, is_last: true };
    assert_eq!(reader.table.apply(page, Instant::now(), |_, _| {}), is_applied);
    assert_eq!(ids(&reader.table).is_empty(), is_applied);
}

/// A reader that still has the store's state of before a restoration lags, whatever its offset.
#[test]
fn apply_position_former_era() {
    let mut reader = Reader::new(1);
    reader.read(vec![put("a", ready(1, 1))], at(2, 5), true);
    let page =
        Page { changes: vec![gone("a")], next: at(1, 90), is_complete: false, is_last: true };
    assert!(!reader.table.apply(page, Instant::now(), |_, _| {}));
}
