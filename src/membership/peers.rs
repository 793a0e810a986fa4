//! Chooses the bounded number of peers that a node opens connections to.

use super::Node;
use super::Settings;
use crate::routing::rendezvous;

/// Chooses peers for the node `me` of `data_centre`: more in its own data centre, few in each other one.
///
/// Nodes that are thought dead are chosen last but not left out while there is room, since a partition that heals is
/// only noticed by trying.
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

/// Counts the data centres other than `data_centre`.
pub(super) fn count_other_data_centres(data_centre: &str, nodes: &[Node]) -> usize {
    let mut names: Vec<&str> = nodes.iter().map(|node| node.data_centre.as_str()).collect();
    names.sort_unstable();
    names.dedup();
    names.iter().filter(|name| **name != data_centre).count()
}
