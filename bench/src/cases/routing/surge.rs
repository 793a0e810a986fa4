//! A team whose callers grow tenfold without warning.

use std::time::Duration;

use async_trait::async_trait;

use crate::cases::Case;
use crate::cases::RunOptions;
use crate::load::Surge;

/// Callers that come on top for each caller that the team has.
const GROWTH: u32 = 9;

/// The case.
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
            callers: team_callers * GROWTH,
            after: Duration::from_secs(2),
        });
    }
}
