use super::fixtures::FakeLog;
use super::fixtures::deployment_key;
use super::fixtures::first;
use super::fixtures::replay;
use super::fixtures::weight;
use crate::border::generated::config::PeerConfig;
use crate::border::generated::platform::Host;
use crate::border::generated::platform::HostRole;
use crate::border::generated::platform::HostState;
use crate::config::Settings;
use crate::config::follow::Following;
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

/// Neighbours that all hold the same store, or none that answers.
struct FakeNeighbours(Option<Arc<Store>>);

#[async_trait]
impl Neighbours for FakeNeighbours {
    async fn ask(
        &self,
        _node: &Node,
        from: u64,
        _wait: Duration,
    ) -> Result<PeerConfig, NeighbourError> {
        match &self.0 {
            Some(store) => Ok(store.answer(from)),
            None => Err(NeighbourError::Unavailable("cut off".to_owned())),
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

/// A store that has followed a log with `records` to its end.
async fn followed(records: &[String]) -> Arc<Store> {
    let mut following = following("n9", log(records, 0), FakeNeighbours(None));
    assert!(following.catch_up().await);
    following.store
}

fn log(records: &[String], first_retained: u64) -> FakeLog {
    FakeLog {
        records: records.to_vec().into(),
        first_retained,
        is_down: false,
    }
}

fn down() -> FakeLog {
    FakeLog {
        is_down: true,
        ..FakeLog::default()
    }
}

fn following(node: &str, log: FakeLog, neighbours: FakeNeighbours) -> Following {
    Following {
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
        avoided: Vec::new(),
    }
}

fn records() -> Vec<String> {
    vec![
        first(),
        weight("a", 0, "falun", 2, Some(0)),
        weight("b", 1, "gavle", 1, None),
    ]
}

#[tokio::test]
async fn without_the_log_a_node_takes_what_its_neighbours_have() {
    let peer = followed(&records()).await;
    let mut following = following("n1", down(), FakeNeighbours(Some(Arc::clone(&peer))));

    let is_caught_up = following.catch_up().await;

    assert!(is_caught_up);
    assert_eq!(following.store.state().hash(), peer.state().hash());
}

#[tokio::test]
async fn without_log_and_neighbours_a_node_is_not_ready() {
    let mut following = following("n1", down(), FakeNeighbours(None));

    assert!(!following.catch_up().await);
}

#[tokio::test]
async fn neighbours_that_know_nothing_make_no_node_ready() {
    let mut following = following("n1", down(), FakeNeighbours(Some(store())));

    assert!(!following.catch_up().await);
}

#[tokio::test]
async fn with_the_log_down_the_last_configuration_stays() {
    let mut following = following("n1", down(), FakeNeighbours(None));
    following.store = followed(&records()).await;

    let has_answer = following.step().await;

    assert!(!has_answer);
    assert_eq!(following.store.state().version, Some(2));
}

#[tokio::test]
async fn a_log_that_has_forgotten_its_start_is_read_from_a_snapshot() {
    let mut records = records();
    let part = replay(&records).0;
    let snapshot = snapshot::to_record(&part.snapshot().unwrap(), &deployment_key());
    records.push(snapshot.unwrap());
    records.push(weight("c", 3, "gavle", 5, Some(2)));
    let whole = replay(&records).0;
    let mut following = following("n1", log(&records, 3), FakeNeighbours(None));

    let is_caught_up = following.catch_up().await;

    assert!(is_caught_up);
    assert_eq!(following.store.state().hash(), whole.hash());
    assert_eq!(following.store.state().version, whole.version);
}

#[tokio::test]
async fn a_log_that_has_forgotten_its_start_and_holds_no_snapshot_makes_no_node_ready() {
    let mut following = following("n1", log(&records(), 1), FakeNeighbours(None));

    assert!(!following.catch_up().await);
    assert_eq!(following.store.next(), 0);
}

#[tokio::test]
async fn an_unknown_record_stops_applying_and_keeps_the_last() {
    let mut records = records();
    records.insert(2, "{\"kind\":\"quota\",\"v\":1}".to_owned());
    let mut following = following("n1", log(&records, 0), FakeNeighbours(None));

    let is_caught_up = following.catch_up().await;

    assert!(!is_caught_up);
    assert_eq!(following.store.stopped_at(), Some(2));
    assert_eq!(following.store.state().version, Some(1));
}

#[tokio::test]
async fn only_the_relays_of_a_data_centre_tail_the_log() {
    let mut tails = 0;

    for number in 1..=8 {
        let node = format!("n{number}");
        let mut following = following(&node, down(), FakeNeighbours(None));
        tails += usize::from(following.sources().first() == Some(&Source::Log));
    }

    assert_eq!(tails, Settings::default().relays);
}

#[tokio::test]
async fn a_node_whose_relays_fail_reads_the_log_itself() {
    let log = log(&records(), 0);
    for number in 1..=8 {
        let node = format!("n{number}");
        let mut following = following(&node, down(), FakeNeighbours(None));
        following.log = Arc::new(FakeLog {
            records: log.records.lock().unwrap().clone().into(),
            ..FakeLog::default()
        });

        let has_answer = following.step().await;

        assert!(has_answer);
        assert_eq!(following.store.next(), 3);
    }
}

#[tokio::test]
async fn a_relay_whose_log_fails_asks_it_again_at_once_where_nobody_knows_better() {
    let stale = followed(&records()).await;
    tokio::time::sleep(Duration::from_millis(5)).await;
    for number in 1..=8 {
        let node = format!("n{number}");
        let neighbours = FakeNeighbours(Some(Arc::clone(&stale)));
        let mut following = following(&node, down(), neighbours);
        following.settings.max_age = Duration::ZERO;
        let before = following.sources();

        following.step().await;

        assert_eq!(following.sources(), before);
    }
}
