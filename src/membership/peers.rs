//! Selects the peers that a node opens connections to. Their number is bounded.

use super::Node;
use super::Settings;
use crate::routing::rendezvous;

/// Returns the peers of the node `own_name` in `data_centre`: up to `near_peers` nodes of its own data centre and up to
/// `far_peers` of each other one, by rendezvous score.
///
/// Dead nodes are selected only if there are not enough others. They are not excluded, because a healed partition is
/// only noticed by trying to connect to them.
pub(super) fn choose<'a>(
    settings: &Settings,
    own_name: &str,
    data_centre: &str,
    nodes: &'a [Node],
    is_dead: impl Fn(&str) -> bool,
) -> Vec<&'a Node> {
    let mut ranked: Vec<&Node> = nodes.iter().filter(|node| node.name != own_name).collect();
    ranked.sort_by_cached_key(|node| {
        let score = rendezvous::score(own_name, &node.name);
        (
            node.data_centre.clone(),
            is_dead(&node.name),
            u64::MAX - score,
        )
    });
    let same_centre = |a: &&Node, b: &&Node| a.data_centre == b.data_centre;
    let max_peers = |centre: &str| match centre == data_centre {
        true => settings.near_peers,
        false => settings.far_peers,
    };
    ranked
        .chunk_by(same_centre)
        .flat_map(|group| group.iter().take(max_peers(&group[0].data_centre)))
        .copied()
        .collect()
}

/// Returns the number of data centres with nodes, without `data_centre`.
pub(super) fn count_other_data_centres(data_centre: &str, nodes: &[Node]) -> usize {
    let mut names: Vec<&str> = nodes.iter().map(|node| node.data_centre.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names.iter().filter(|name| **name != data_centre).count()
}
