//! Waits until all nodes have the same view of each other.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;

use crate::fleet::Fleet;
use crate::load::directory::get_text;

/// Time that views may differ after a change.
const AGREE_WITHIN: Duration = Duration::from_secs(5);
/// Pause between two looks.
const LOOK_PAUSE: Duration = Duration::from_millis(50);
/// Metric that is equal where views are.
const VIEW_DIGEST: &str = "currantbend_view_digest ";

/// Waits until all nodes have the same view, and gives the time it took.
///
/// # Errors
///
/// Says what each node saw last, where they did not agree in time.
pub async fn wait_for_equal_views(fleet: &Fleet) -> Result<Duration, String> {
    let began = Instant::now();
    loop {
        let seen = digests(fleet).await;
        let first = seen.first().cloned().flatten();
        if first.is_some() && seen.iter().all(|digest| *digest == first) {
            return Ok(began.elapsed());
        }
        if began.elapsed() > AGREE_WITHIN {
            return Err(format!("views differ after {AGREE_WITHIN:?}: {seen:?}"));
        }
        tokio::time::sleep(LOOK_PAUSE).await;
    }
}

async fn digests(fleet: &Fleet) -> Vec<Option<String>> {
    let nodes = fleet.directory().nodes();
    let looks = nodes.iter().map(|node| async {
        let text = get_text(node.operations_address, "/metrics").await?;
        let value = text.lines().find_map(|line| line.strip_prefix(VIEW_DIGEST));
        value.map(str::to_owned)
    });
    join_all(looks).await
}
