//! Many gateways with views of different age in front of servers that have just started.

use crate::clock::BootInstant;
use crate::decide::ColdPolicy;
use crate::decide::LIST_SETTLING_TIME;
use crate::decide::RecentNodes;
use crate::decide::SendBucket;
use crate::decide::ShareTerm;
use crate::decide::TOKEN_TIME;
use crate::decide::Warmth;
use crate::decide::is_sender;
use crate::decide::sender_share;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

const MAX_PER_SECOND: f64 = 16.4;
const STEP: Duration = Duration::from_millis(20);
const SEEDS: u64 = 3;

fn at(ms: u64) -> BootInstant {
    BootInstant::from_boot(Duration::from_secs(1_000) + Duration::from_millis(ms))
}

fn policy() -> ColdPolicy {
    ColdPolicy {
        time: Duration::from_secs(3),
        max_per_second: MAX_PER_SECOND,
    }
}

fn names(numbers: std::ops::Range<usize>) -> Vec<String> {
    let mut names: Vec<String> = numbers.map(|number| format!("g-{number}")).collect();
    names.sort();
    names
}

/// A gateway of the fleet and what it knows of the others.
struct Node {
    name: String,
    started_ms: u64,
    /// When it was cut off from the others; `None` if it is in touch.
    cut_off_ms: Option<u64>,
    recent: RecentNodes,
    /// Requests a second of the gateway's share; `None` if it is no sender.
    rate: Option<f64>,
    bucket: SendBucket,
}

impl Node {
    fn new(name: &str, started_ms: u64, listed: &[String]) -> Self {
        let mut node = Self {
            name: name.to_owned(),
            started_ms,
            cut_off_ms: None,
            recent: RecentNodes::default(),
            rate: None,
            bucket: SendBucket::default(),
        };
        node.record_list(listed, started_ms);
        node
    }

    fn record_list(&mut self, listed: &[String], now_ms: u64) {
        self.recent.record(listed, at(now_ms));
        self.rank();
    }

    fn rank(&mut self) {
        let names = self.recent.names();
        let share = sender_share(MAX_PER_SECOND, names.len());
        let is_sender = is_sender(&self.name, &names, b"server", share.senders);
        self.rate = is_sender.then_some(share.rate);
    }

    /// Takes a token for the server if the gateway is one of its senders.
    fn take(&mut self, now_ms: u64) -> bool {
        if self.recent.expire(at(now_ms)) {
            self.rank();
        }
        let cut_off_for = self
            .cut_off_ms
            .map_or(0, |cut_off| now_ms.saturating_sub(cut_off));
        let term = ShareTerm {
            started_at: at(self.started_ms),
            news_at: Some(at(now_ms)),
            config_age: Some(Duration::from_millis(cut_off_for)),
        };
        let rate = self.rate.filter(|_| term.holds(at(now_ms)));
        rate.is_some_and(|rate| self.bucket.take(rate, at(now_ms)))
    }
}

/// Lets all `nodes` ask for tokens in random order for `time`, each of which is used up to [`TOKEN_TIME`] later; calls `change` at
/// each step. Returns the times of the requests in milliseconds.
fn play(
    nodes: &mut Vec<Node>,
    time: Duration,
    seed: u64,
    mut change: impl FnMut(&mut Vec<Node>, u64),
) -> Vec<u64> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut sent = Vec::new();
    let steps = time.as_millis() / STEP.as_millis();
    for step in 0..steps as u64 {
        let now_ms = LIST_SETTLING_TIME.as_millis() as u64 + step * STEP.as_millis() as u64;
        change(nodes, now_ms);
        for node in nodes.iter_mut() {
            if node.take(now_ms) {
                sent.push(now_ms + rng.random_range(0..=TOKEN_TIME.as_millis() as u64));
            }
        }
    }
    sent.sort_unstable();
    sent
}

fn most_in_a_second(sent: &[u64]) -> usize {
    let in_second = |first: usize| {
        let end = sent[first] + 1_000;
        sent[first..].iter().take_while(|ms| **ms < end).count()
    };
    (0..sent.len()).map(in_second).max().unwrap_or(0)
}

fn fleet(count: usize) -> Vec<Node> {
    let listed = names(0..count);
    let nodes = listed.iter().map(|name| Node::new(name, 0, &listed));
    nodes.collect()
}

#[test]
fn a_fleet_keeps_the_bound_of_each_second_and_uses_it() {
    for count in [1, 7, 75, 302] {
        let time = Duration::from_secs(6);
        let sent = play(&mut fleet(count), time, count as u64, |_, _| {});

        let most = most_in_a_second(&sent);
        assert!(most as f64 <= MAX_PER_SECOND, "{most}, {count} gateways");
        let used = sent.len() as f64 / time.as_secs_f64() / MAX_PER_SECOND;
        assert!(used >= 0.7, "{used}, {count} gateways");
    }
}

#[test]
fn gateways_that_join_and_are_known_late_do_not_raise_the_bound() {
    for seed in 0..SEEDS {
        let mut nodes = fleet(60);
        let all = names(0..75);
        let mut rng = StdRng::seed_from_u64(seed);
        // Each gateway learns of those that joined up to 6.5 s late.
        let learns_at: Vec<u64> = (0..75).map(|_| rng.random_range(8_000..14_500)).collect();

        let sent = play(&mut nodes, Duration::from_secs(20), seed, |nodes, now| {
            if nodes.len() == 60 {
                let joined = all.iter().filter(|name| !names(0..60).contains(name));
                nodes.extend(joined.map(|name| Node::new(name, now, &all)));
            }
            for (node, learns_at) in nodes.iter_mut().zip(&learns_at) {
                if (*learns_at..*learns_at + 20).contains(&now) {
                    node.record_list(&all, now);
                }
            }
        });

        let most = most_in_a_second(&sent);
        assert!(most as f64 <= MAX_PER_SECOND, "{most}, seed {seed}");
    }
}

#[test]
fn gateways_that_are_cut_off_stop_before_those_that_join_begin() {
    for seed in 0..SEEDS {
        let mut nodes = fleet(60);
        let all = names(0..120);
        for node in nodes.iter_mut().filter(|node| !node.name.ends_with('0')) {
            node.cut_off_ms = Some(8_000);
        }

        let sent = play(&mut nodes, Duration::from_secs(20), seed, |nodes, now| {
            if nodes.len() == 60 {
                let joined = all.iter().filter(|name| !names(0..60).contains(name));
                nodes.extend(joined.map(|name| Node::new(name, now, &all)));
                for node in nodes.iter_mut().filter(|node| node.cut_off_ms.is_none()) {
                    node.record_list(&all, now);
                }
            }
        });

        let most = most_in_a_second(&sent);
        assert!(most as f64 <= MAX_PER_SECOND, "{most}, seed {seed}");
    }
}

#[test]
fn the_share_of_a_gateway_that_left_is_taken_over_after_its_requests_are_out() {
    for seed in 0..SEEDS {
        let mut nodes = fleet(75);
        let is_first = |node: &Node| is_sender(&node.name, &names(0..75), b"server", 1);
        let first = nodes.iter().position(is_first).unwrap();
        let left = nodes[first].name.clone();
        let rest: Vec<String> = names(0..75)
            .into_iter()
            .filter(|name| *name != left)
            .collect();

        // The gateway works on for 2 s after the others have taken it off the list.
        let sent = play(&mut nodes, Duration::from_secs(20), seed, |nodes, now| {
            if now == 8_000 {
                for node in nodes.iter_mut().filter(|node| node.name != left) {
                    node.record_list(&rest, now);
                }
            }
            nodes.retain(|node| node.name != left || now < 10_000);
        });

        let most = most_in_a_second(&sent);
        assert!(most as f64 <= MAX_PER_SECOND, "{most}, seed {seed}");
        let late = sent.iter().filter(|ms| **ms > 20_000).count() as f64;
        let used = late / 8.0 / MAX_PER_SECOND;
        assert!(used >= 0.7, "{used} after the share was taken over");
    }
}

#[test]
fn a_gateway_that_has_just_started_sends_nothing_to_a_cold_server() {
    let listed = names(0..1);
    let mut node = Node::new("g-0", 5_000, &listed);

    let taken = [5_000, 8_000, 12_999, 13_000].map(|now| node.take(now));

    assert_eq!(taken, [false, false, false, true]);
}

#[test]
fn a_bucket_gives_out_no_more_after_a_pause_than_before() {
    let mut bucket = SendBucket::default();
    bucket.take(2.0, at(0));

    // Paused for a minute, after which many requests wait.
    let taken = (0..10).filter(|_| bucket.take(2.0, at(60_000))).count();

    assert_eq!(taken, 1);
}

#[test]
fn less_urgent_requests_leave_a_token_to_others_for_half_of_its_time() {
    let mut bucket = SendBucket::default();
    bucket.take(2.0, at(0));

    let at_times = |yields| [499, 500, 749, 750].map(|now| bucket.has_token(2.0, yields, at(now)));

    assert_eq!(at_times(false), [false, true, true, true]);
    assert_eq!(at_times(true), [false, false, false, true]);
}

#[test]
fn a_report_makes_a_server_cold_from_its_first_sight_on() {
    let mut warmth = Warmth::default();
    let left = |warmth: &Warmth, ms| warmth.cold_left(&policy(), None, at(ms));
    warmth.record_report(1, Duration::from_millis(1_000), at(0));

    // The same report again, in another list.
    warmth.record_report(1, Duration::from_millis(1_000), at(900));

    assert_eq!(left(&warmth, 900), Some(Duration::from_millis(100)));
    assert_eq!(left(&warmth, 1_000), None);
    warmth.record_report(2, Duration::from_millis(2_000), at(1_000));
    assert_eq!(left(&warmth, 2_999), Some(Duration::from_millis(1)));
    warmth.record_report(3, Duration::ZERO, at(1_200));
    assert_eq!(left(&warmth, 1_200), None);
}

#[test]
fn a_server_that_may_have_started_again_is_cold_for_its_time_after_its_first_answer() {
    let mut warmth = Warmth::default();
    let is_cold = |warmth: &Warmth, ms| warmth.cold_left(&policy(), None, at(ms)).is_some();
    warmth.record_answer(at(0));
    let before = is_cold(&warmth, 0);

    warmth.record_failure(at(1_000));
    let failed = is_cold(&warmth, 3_500);
    warmth.record_answer(at(3_500));
    warmth.record_answer(at(6_000));

    assert!(!before);
    assert!(failed);
    assert!(is_cold(&warmth, 6_499));
    assert!(!is_cold(&warmth, 6_500));
}

#[test]
fn servers_of_a_data_centre_that_returns_are_cold_for_their_time() {
    let warmth = Warmth::default();

    let left = |ms| warmth.cold_left(&policy(), Some(at(0)), at(ms));

    assert_eq!(left(2_000), Some(Duration::from_secs(1)));
    assert_eq!(left(3_000), None);
}

#[test]
fn a_small_bound_is_divided_among_fewer_gateways() {
    let senders = [1.0, 4.0, 6.5, 16.4, 200.0].map(|bound| sender_share(bound, 75).senders);

    assert_eq!(senders, [1, 2, 3, 4, 4]);
    assert_eq!(sender_share(16.4, 2).senders, 2);
}
