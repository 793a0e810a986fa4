//! Gateways that share the limit of a server and know of each other's requests late.

use crate::clock::BootInstant;
use crate::decide::FleetRequests;
use crate::decide::OwnRequests;
use crate::decide::RateWindow;
use crate::decide::limit_senders;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::time::Duration;

/// Time until a gateway knows what the others have sent, in steps of [`STEP`].
const DELAY_STEPS: usize = 15;
const STEP: Duration = Duration::from_millis(50);
const STEPS: usize = 1_200;
/// Steps of the first seconds, in which the limit takes effect, and those of a window of four seconds.
const SETTLING_STEPS: usize = 60;
const WINDOW_STEPS: usize = 80;

/// Requests that each gateway counted in the last window, at each step.
type History = Vec<Vec<FleetRequests>>;

/// Lets gateways with these numbers of requests a second choose one server with `limit`; returns the number of requests
/// that it gets in each step.
fn play(rates: &[f64], limit: f64, seed: u64) -> Vec<u32> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut windows = vec![(RateWindow::default(), RateWindow::default()); rates.len()];
    let mut history: History = Vec::new();
    let mut arrivals = Vec::new();
    for step in 0..STEPS {
        let now = BootInstant::from_boot(Duration::from_secs(100) + STEP * step as u32);
        let known = history.get(step.saturating_sub(DELAY_STEPS)).cloned();
        let mut sent_now = 0;
        for (gateway, rate) in rates.iter().enumerate() {
            let expected = rate * STEP.as_secs_f64();
            let count = expected.floor() + f64::from(u8::from(rng.random_bool(expected.fract())));
            for _ in 0..count as u32 {
                let (chosen, sent) = &mut windows[gateway];
                chosen.record(now);
                let mut fleet = FleetRequests {
                    chosen: chosen.count(now),
                    sent: sent.count(now),
                };
                let others = known.iter().flatten().enumerate();
                for (_, other) in others.filter(|(other, _)| *other != gateway) {
                    fleet.chosen += other.chosen;
                    fleet.sent += other.sent;
                }
                if fleet.may_send(limit, rng.random()) {
                    sent.record(now);
                    sent_now += 1;
                }
            }
        }
        let counts = windows.iter_mut().map(|(chosen, sent)| FleetRequests {
            chosen: chosen.count(now),
            sent: sent.count(now),
        });
        history.push(counts.collect());
        arrivals.push(sent_now);
    }
    arrivals
}

/// Time from a request to the answer that names the limit.
const ANSWER_STEPS: usize = 6;
/// Steps in which a fleet meets a limit, of which the first ones have few requests.
const MEETING_STEPS: usize = 160;
const SEEDS: u64 = 20;
/// Step from which all gateways choose the server more often.
const SURGE_STEP: usize = 70;

/// A fleet that meets the limit of one server.
struct MeetingFleet {
    gateways: usize,
    /// Choices a second of each gateway before and after [`SURGE_STEP`].
    rates: [f64; 2],
    limit: f64,
    /// Whether each gateway had a request there when the limit began, so that the answer tells it.
    is_told_at_once: bool,
}

impl MeetingFleet {
    /// Returns when `gateway` learns of the limit, by an answer to its own request or from the first gateway that had one.
    fn learns_at(told: &[Option<usize>], gateway: usize) -> Option<usize> {
        let from_others = told.iter().flatten().min()? + DELAY_STEPS;
        Some(told[gateway].map_or(from_others, |at| at.min(from_others)))
    }

    /// Returns the number of requests in each step from gateways that the server has told its limit.
    fn play(&self, seed: u64) -> Vec<u32> {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut own = vec![OwnRequests::default(); self.gateways];
        let first_told = self.is_told_at_once.then_some(ANSWER_STEPS);
        let mut told: Vec<Option<usize>> = vec![first_told; self.gateways];
        let mut history: History = Vec::new();
        let mut arrivals = Vec::new();
        let senders = limit_senders(self.limit).min(self.gateways);
        for step in 0..MEETING_STEPS {
            let now = BootInstant::from_boot(Duration::from_secs(100) + STEP * step as u32);
            let rate = self.rates[usize::from(step >= SURGE_STEP)];
            let known = history.get(step.saturating_sub(DELAY_STEPS)).cloned();
            let mut arrived = 0;
            for gateway in 0..self.gateways {
                let learnt_at = Self::learns_at(&told, gateway).filter(|at| *at <= step);
                let is_sender = learnt_at.is_none() || gateway < senders;
                if !is_sender || !rng.random_bool(rate * STEP.as_secs_f64()) {
                    continue;
                }
                own[gateway].chosen.record(now);
                let others = known.iter().flatten().enumerate();
                let others = others.filter(|(other, _)| *other != gateway);
                let others =
                    others.fold(FleetRequests::default(), |sum, (_, other)| FleetRequests {
                        chosen: sum.chosen + other.chosen,
                        sent: sum.sent + other.sent,
                    });
                let may_send = learnt_at.is_none_or(|at| {
                    let known_for = STEP * (step - at) as u32;
                    own[gateway]
                        .of_fleet(Some(others), known_for, senders, now)
                        .may_send(self.limit, rng.random())
                });
                if may_send {
                    own[gateway].sent.record(now);
                    arrived += u32::from(told[gateway].is_some_and(|at| at <= step));
                    told[gateway].get_or_insert(step + ANSWER_STEPS);
                }
            }
            let counts = own.iter_mut().enumerate().map(|(gateway, own)| {
                let is_told = Self::learns_at(&told, gateway).is_some_and(|at| at <= step);
                if is_told {
                    own.count(now)
                } else {
                    FleetRequests::default()
                }
            });
            history.push(counts.collect());
            arrivals.push(arrived);
        }
        arrivals
    }
}

/// Guards against a server that gets its limit from each of many gateways: when it names it first, and when all choose it again in
/// the same moment after a while without a request, before any knows of another's. It must not be starved either.
#[test]
fn a_large_fleet_that_chooses_a_limited_server_at_once_keeps_its_limit() {
    let fleets = [
        (75, [0.0, 2.0], 1.0, true),
        (60, [0.0, 4.0], 4.7, true),
        (90, [0.0, 3.0], 5.0, true),
        (75, [0.4, 3.0], 1.0, false),
        (7, [3.0, 9.0], 1.0, false),
    ];
    for (gateways, rates, limit, is_told_at_once) in fleets {
        let fleet = MeetingFleet {
            gateways,
            rates,
            limit,
            is_told_at_once,
        };
        let mut used = 0;
        for seed in 0..SEEDS {
            let arrivals = fleet.play(seed);

            let windows = arrivals.windows(WINDOW_STEPS);
            let most: u32 = windows.map(|window| window.iter().sum()).max().unwrap();
            let allowed = limit * 4.0 * 1.5 + 5.0;
            assert!(
                f64::from(most) <= allowed,
                "{most} of {allowed} requests of {gateways} gateways, seed {seed}"
            );
            used += arrivals[SURGE_STEP..].iter().sum::<u32>();
        }
        let surges = STEP * (MEETING_STEPS - SURGE_STEP) as u32 * SEEDS as u32;
        let used = f64::from(used) / surges.as_secs_f64();
        assert!(
            used >= 0.6 * limit,
            "{used} of {limit} a second, {gateways} gateways"
        );
    }
}

fn check_limit(rates: &[f64], limit: f64) {
    for seed in 0..20 {
        let arrivals = play(rates, limit, seed);

        let settled = &arrivals[SETTLING_STEPS..];
        let windows = settled.windows(WINDOW_STEPS);
        let most: u32 = windows.map(|window| window.iter().sum()).max().unwrap();
        let allowed = limit * 4.0 * 1.5 + 5.0;
        assert!(
            f64::from(most) <= allowed,
            "{most} of {allowed}, seed {seed}"
        );
        let used =
            f64::from(settled.iter().sum::<u32>()) / (settled.len() as f64 * STEP.as_secs_f64());
        let usable = limit.min(rates.iter().sum());
        assert!(
            used >= 0.6 * usable,
            "{used} of {usable} a second, seed {seed}"
        );
    }
}

#[test]
fn equal_gateways_share_a_limit() {
    check_limit(&[3.0; 7], 4.0);
}

#[test]
fn unequal_gateways_share_a_limit() {
    check_limit(&[18.0, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5], 4.0);
}

#[test]
fn a_large_fleet_shares_a_small_limit() {
    check_limit(&[0.2; 90], 1.5);
}

#[test]
fn a_limit_above_the_load_holds_nothing_back() {
    check_limit(&[1.0; 7], 30.0);
}

#[test]
fn a_server_that_takes_nothing_is_asked_now_and_then() {
    for seed in 0..20 {
        let arrivals = play(&[3.0; 7], 0.0, seed);

        let windows = arrivals[SETTLING_STEPS..].windows(WINDOW_STEPS);
        let most: u32 = windows.map(|window| window.iter().sum()).max().unwrap();
        assert!(most <= 5, "{most}, seed {seed}");
        assert!(arrivals.iter().sum::<u32>() >= 5);
    }
}

#[test]
fn a_window_forgets_what_is_older_than_it() {
    let at = |ms: u64| BootInstant::from_boot(Duration::from_millis(100_000 + ms));
    let mut window = RateWindow::default();
    for ms in [0, 100, 600, 1_200] {
        window.record(at(ms));
    }

    let counts = [1_300, 2_100, 2_800, 3_300, 90_000].map(|ms| window.count(at(ms)));

    assert_eq!(counts, [4, 2, 1, 0, 0]);
}
