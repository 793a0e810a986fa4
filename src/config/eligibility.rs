//! Decides which backend servers are eligible for a team's requests.

use super::state::State;
use crate::border::generated::config::Service;
use crate::membership;

/// Returns whether new requests of `team` for `service` may be sent to `backend`: the backend server is not being
/// drained, the service lists its data centre or lists none, and the team does not exclude that data centre.
pub fn may_serve(
    state: &State,
    service: &Service,
    team: &str,
    backend: &membership::Backend,
) -> bool {
    let data_centre = &backend.data_centre;
    let is_drained = state.backend(&backend.name).is_some_and(|b| b.drain);
    let serves_here = service.data_centres.is_empty() || service.data_centres.contains(data_centre);
    let is_excluded = state
        .team(team)
        .is_some_and(|team| team.excluded_data_centres.contains(data_centre));
    !is_drained && serves_here && !is_excluded
}
