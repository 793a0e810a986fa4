//! `cbctl intent move-team`: excludes a data centre from those that serve a team.

use super::Intent;
use super::unknown;
use crate::border::generated::config::Object;
use crate::config::State;
use crate::ctl::CtlError;
use crate::ctl::args::usage_error;
use crate::membership::View;
use async_trait::async_trait;
use pico_args::Arguments;

pub(super) struct MoveTeam {
    team: String,
    data_centre: String,
}

impl MoveTeam {
    pub(super) fn parse(args: &mut Arguments) -> Result<Self, CtlError> {
        Ok(Self {
            data_centre: args.value_from_str("--off").map_err(usage_error)?,
            team: args.free_from_str().map_err(usage_error)?,
        })
    }
}

#[async_trait]
impl Intent for MoveTeam {
    fn note(&self) -> String {
        format!("move team {} off {}", self.team, self.data_centre)
    }

    async fn objects_to_put(&self, state: &State, view: &View) -> Result<Vec<Object>, CtlError> {
        let team = state.team(&self.team);
        let mut team = team.cloned().ok_or_else(|| unknown("team", &self.team))?;
        let mut backends = view.backends().iter();
        if !backends.any(|backend| backend.data_centre == self.data_centre) {
            return Err(unknown(
                "data centre with backend servers named",
                &self.data_centre,
            ));
        }
        if team.excluded_data_centres.contains(&self.data_centre) {
            let text = format!(
                "team {} is already excluded from {}",
                self.team, self.data_centre
            );
            return Err(CtlError::Impossible(text));
        }
        team.excluded_data_centres.push(self.data_centre.clone());
        Ok(vec![Object::Team { team }])
    }
}
