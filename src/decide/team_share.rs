//! Decides whose requests a full service rejects first: those of teams beyond a fair share.
//!
//! Load pattern: one or two of many teams send several times their usual at a service that is full. Rejected at random, all
//! teams pay for what these send. Each gateway sees a few requests of a team in a second, so the gateways add up what they
//! see. See `docs/design/TEAM-SHARES.md`.

/// Multiple of the mean over the teams of a service from which a team is heavy: large teams send as much on an even day.
const HEAVY_FROM: f64 = 2.0;
/// Requests of a service in the counted time from which shares are known.
const MIN_REQUESTS: u32 = 50;

/// A team whose requests are more than a fair share of those of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct HeavyTeam {
    /// Name of the team.
    pub team: String,
    /// Its part of all requests for the service.
    pub share: f64,
    /// Part down to which requests of heavy teams are rejected before those of others.
    pub floor: f64,
}

/// Returns the heavy teams of one service, sorted by name, from the requests of all its teams.
pub fn heavy_teams(requests: &[(&str, u32)]) -> Vec<HeavyTeam> {
    let total: u32 = requests.iter().map(|(_, count)| count).sum();
    if total < MIN_REQUESTS {
        return Vec::new();
    }
    let floor = HEAVY_FROM / requests.len() as f64;
    let heavy = requests.iter().filter_map(|(team, count)| {
        let share = f64::from(*count) / f64::from(total);
        (share > floor).then(|| HeavyTeam {
            team: (*team).to_owned(),
            share,
            floor,
        })
    });
    let mut heavy: Vec<HeavyTeam> = heavy.collect();
    heavy.sort_by(|a, b| a.team.cmp(&b.team));
    heavy
}

/// Returns the share of the requests of `team` to reject so that `rejected` of all requests of the service are.
pub fn rejected_share_of_team(rejected: f64, team: Option<&str>, heavy: &[HeavyTeam]) -> f64 {
    let own = heavy
        .iter()
        .find(|heavy| Some(heavy.team.as_str()) == team)
        .map(|heavy| heavy.share);
    let Some(floor) = heavy.first().map(|heavy| heavy.floor) else {
        return rejected;
    };
    let surplus = |level: f64| -> f64 {
        let above = heavy.iter().map(|heavy| (heavy.share - level).max(0.0));
        above.sum()
    };
    let most = surplus(floor);
    if rejected >= most {
        // What the surplus does not cover is taken from all that is left.
        let rest = (rejected - most) / (1.0 - most).max(f64::EPSILON);
        return own.map_or(rest, |share| 1.0 - floor / share * (1.0 - rest));
    }
    own.map_or(0.0, |share| {
        let level = level_for(rejected, floor, &surplus);
        (1.0 - level / share).max(0.0)
    })
}

/// Number of halvings after which a level is known to a thousandth.
const LEVEL_STEPS: u32 = 12;

/// Returns the level, `floor` or above, over which the shares of heavy teams add up to `rejected`.
fn level_for(rejected: f64, floor: f64, surplus: &dyn Fn(f64) -> f64) -> f64 {
    let (mut low, mut high) = (floor, 1.0);
    for _ in 0..LEVEL_STEPS {
        let middle = f64::midpoint(low, high);
        if surplus(middle) > rejected {
            low = middle;
        } else {
            high = middle;
        }
    }
    f64::midpoint(low, high)
}
