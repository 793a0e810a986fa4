use super::fixtures::FakeLog;
use super::fixtures::deployment_key;
use super::fixtures::first_record;
use super::fixtures::replay;
use super::fixtures::weight_record;
use crate::border::generated::config::PeerConfig;
use crate::border::generated::platform::Host;
use crate::border::generated::platform::HostRole;
use crate::border::generated::platform::HostState;
use crate::config::Settings;
use crate::config::follow::FollowTask;
use crate::config::follow::Source;
use crate::config::neighbours::NeighbourError;
use crate::config::neighbours::Neighbours;
use crate::config::snapshot;
use crate::config::store::Store;
use crate::membership::Membership;
use crate::membership::Node;
use crate::membership::NodeConfigTable;
use crate::membership::View;
use crate::operations::Metrics;
use crate::operations::Readiness;
use crate::timeline::Timeline;
use async_trait::async_trait;
use std::sync::Arc;
use std::time::Duration;

struct FixedView(Arc<View>);

impl Membership for FixedView {
    fn view(&self) -> Arc<View> {
        Arc::clone(&self.0)
    }
}

/// Neighbours that all respond from the same store, or do not respond if there is none.
struct FakeNeighbours(Option<Arc<Store>>);

#[async_trait]
impl Neighbours for FakeNeighbours {
    async fn fetch_config(
        &self,
        _node: &Node,
        from: u64,
        _wait: Duration,
    ) -> Result<PeerConfig, NeighbourError> {
        match &self.0 {
            Some(store) => Ok(store.build_response(from)),
            None => Err(NeighbourError::Unavailable("unreachable".to_owned())),
        }
    }
}

fn view(nodes: u8) -> View {
    let host = |number| Host {
        name: format!("n{number}"),
        address: format!("127.0.0.1:{number}"),
        data_centre: "falun".to_owned(),
        region: "north".to_owned(),
        role: HostRole::Entry,
        state: HostState::Live,
        service: None,
        checks_fencing: None,
    };
    let hosts: Vec<Host> = (1..=nodes).map(host).collect();
    View::from_hosts(&hosts)
}

fn store() -> Arc<Store> {
    Arc::new(Store::new(
        Arc::new(NodeConfigTable::new("n1")),
        Arc::new(Metrics::new()),
        Arc::new(Timeline::silent()),
    ))
}

/// Returns a store that has applied all of `records` from a log.
async fn caught_up_store(records: &[String]) -> Arc<Store> {
    let mut follow_task = follow_task("n9", log(records, 0), FakeNeighbours(None));
    assert!(follow_task.catch_up().await);
    follow_task.store
}

fn log(records: &[String], first_retained: u64) -> FakeLog {
    FakeLog {
        records: records.to_vec().into(),
        first_retained,
        is_down: false,
    }
}

fn unavailable_log() -> FakeLog {
    FakeLog {
        is_down: true,
        ..FakeLog::default()
    }
}

fn follow_task(node: &str, log: FakeLog, neighbours: FakeNeighbours) -> FollowTask {
    FollowTask {
        node: node.to_owned(),
        data_centre: "falun".to_owned(),
        key: deployment_key(),
        settings: Settings::default(),
        log: Arc::new(log),
        neighbours: Arc::new(neighbours),
        membership: Arc::new(FixedView(Arc::new(view(8)))),
        readiness: Readiness::default(),
        timeline: Arc::new(Timeline::silent()),
        store: store(),
        backed_off: Vec::new(),
    }
}

fn records() -> Vec<String> {
    vec![
        first_record(),
        weight_record("a", 0, "falun", 2, Some(0)),
        weight_record("b", 1, "gavle", 1, None),
    ]
}

#[tokio::test]
async fn without_the_log_a_node_catches_up_from_its_neighbours() {
    let peer = caught_up_store(&records()).await;
    let mut follow_task = follow_task(
        "n1",
        unavailable_log(),
        FakeNeighbours(Some(Arc::clone(&peer))),
    );

    let is_caught_up = follow_task.catch_up().await;

    assert!(is_caught_up);
    assert_eq!(follow_task.store.state().hash(), peer.state().hash());
}

#[tokio::test]
async fn without_log_and_neighbours_a_node_is_not_ready() {
    let mut follow_task = follow_task("n1", unavailable_log(), FakeNeighbours(None));

    assert!(!follow_task.catch_up().await);
}

#[tokio::test]
async fn neighbours_without_configuration_do_not_make_a_node_ready() {
    let mut follow_task = follow_task("n1", unavailable_log(), FakeNeighbours(Some(store())));

    assert!(!follow_task.catch_up().await);
}

#[tokio::test]
async fn with_the_log_down_the_last_configuration_stays_in_force() {
    let mut follow_task = follow_task("n1", unavailable_log(), FakeNeighbours(None));
    follow_task.store = caught_up_store(&records()).await;

    let has_response = follow_task.poll_once().await;

    assert!(!has_response);
    assert_eq!(follow_task.store.state().version, Some(2));
}

#[tokio::test]
async fn a_log_without_its_first_records_is_read_from_a_snapshot() {
    let mut records = records();
    let before_snapshot = replay(&records).0;
    let snapshot = snapshot::to_record(&before_snapshot.snapshot().unwrap(), &deployment_key());
    records.push(snapshot.unwrap());
    records.push(weight_record("c", 3, "gavle", 5, Some(2)));
    let expected = replay(&records).0;
    let mut follow_task = follow_task("n1", log(&records, 3), FakeNeighbours(None));

    let is_caught_up = follow_task.catch_up().await;

    assert!(is_caught_up);
    assert_eq!(follow_task.store.state().hash(), expected.hash());
    assert_eq!(follow_task.store.state().version, expected.version);
}

#[tokio::test]
async fn a_log_without_its_first_records_and_without_a_snapshot_does_not_make_a_node_ready() {
    let mut follow_task = follow_task("n1", log(&records(), 1), FakeNeighbours(None));

    assert!(!follow_task.catch_up().await);
    assert_eq!(follow_task.store.next_offset(), 0);
}

#[tokio::test]
async fn an_unsupported_record_stops_applying_and_keeps_the_last_state() {
    let mut records = records();
    records.insert(2, "{\"kind\":\"quota\",\"v\":1}".to_owned());
    let mut follow_task = follow_task("n1", log(&records, 0), FakeNeighbours(None));

    let is_caught_up = follow_task.catch_up().await;

    assert!(!is_caught_up);
    assert_eq!(follow_task.store.stopped_at(), Some(2));
    assert_eq!(follow_task.store.state().version, Some(1));
}

#[tokio::test]
async fn only_the_relays_of_a_data_centre_tail_the_log() {
    let mut relays = 0;

    for number in 1..=8 {
        let node = format!("n{number}");
        let mut follow_task = follow_task(&node, unavailable_log(), FakeNeighbours(None));
        relays += usize::from(follow_task.sources().first() == Some(&Source::Log));
    }

    assert_eq!(relays, Settings::default().relays);
}

#[tokio::test]
async fn a_node_whose_relays_fail_reads_the_log_itself() {
    let log = log(&records(), 0);
    for number in 1..=8 {
        let node = format!("n{number}");
        let mut follow_task = follow_task(&node, unavailable_log(), FakeNeighbours(None));
        follow_task.log = Arc::new(FakeLog {
            records: log.records.lock().unwrap().clone().into(),
            ..FakeLog::default()
        });

        let has_response = follow_task.poll_once().await;

        assert!(has_response);
        assert_eq!(follow_task.store.next_offset(), 3);
    }
}

#[tokio::test]
async fn a_relay_retries_a_failed_log_at_once_if_all_neighbours_are_stale() {
    let stale = caught_up_store(&records()).await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    for number in 1..=8 {
        let node = format!("n{number}");
        let neighbours = FakeNeighbours(Some(Arc::clone(&stale)));
        let mut follow_task = follow_task(&node, unavailable_log(), neighbours);
        follow_task.settings.max_age = Duration::ZERO;
        let before = follow_task.sources();

        follow_task.poll_once().await;

        assert_eq!(follow_task.sources(), before);
    }
}
