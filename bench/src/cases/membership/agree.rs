//! Waits until all nodes have the same membership view.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;

use crate::fleet::Fleet;
use crate::load::directory::get_text;

/// Maximum time for which the views may differ after a change.
const MAX_DISAGREEMENT_TIME: Duration = Duration::from_secs(5);
/// Interval between two polls of the metrics.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Metric that has the same value on nodes with the same view.
const VIEW_DIGEST: &str = "currantbend_view_digest ";

/// Waits until all nodes have the same view, and returns the elapsed time.
///
/// # Errors
///
/// Returns a message with the last digest of each node if the views still differ after [`MAX_DISAGREEMENT_TIME`].
pub async fn wait_for_equal_views(fleet: &Fleet) -> Result<Duration, String> {
    let start_time = Instant::now();
    loop {
        let digests = read_digests(fleet).await;
        let first = digests.first().cloned().flatten();
        if first.is_some() && digests.iter().all(|digest| *digest == first) {
            return Ok(start_time.elapsed());
        }
        if start_time.elapsed() > MAX_DISAGREEMENT_TIME {
            return Err(format!(
                "views differ after {MAX_DISAGREEMENT_TIME:?}: {digests:?}"
            ));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn read_digests(fleet: &Fleet) -> Vec<Option<String>> {
    let nodes = fleet.directory().nodes();
    let requests = nodes.iter().map(|node| async {
        let text = get_text(node.operations_address, "/metrics").await?;
        let value = text.lines().find_map(|line| line.strip_prefix(VIEW_DIGEST));
        value.map(str::to_owned)
    });
    join_all(requests).await
}
