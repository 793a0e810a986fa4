//! A team whose number of callers suddenly grows tenfold.

use std::time::Duration;

use async_trait::async_trait;

use crate::cases::Case;
use crate::cases::RunOptions;
use crate::load::Surge;

/// Number of additional callers for each caller of the team.
const ADDED_PER_CALLER: u32 = 9;

/// A sudden growth of the load of one team.
pub struct SurgeCase;

#[async_trait]
impl Case for SurgeCase {
    fn name(&self) -> &'static str {
        "surge"
    }

    fn description(&self) -> &'static str {
        "a team surges tenfold without warning"
    }

    fn options(&self, options: &mut RunOptions) {
        let team_callers = options.load.chat_callers / options.fleet.teams.max(1);
        options.load.surge = Some(Surge {
            callers: team_callers * ADDED_PER_CALLER,
            after: Duration::from_secs(2),
        });
    }
}
