//! Asks nodes for their status.

use crate::border::generated::config::NodeStatus;
use crate::net::Client;
use crate::net::ClientOptions;
use crate::net::collect;
use crate::net::empty_body;
use futures_util::future::join_all;
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a node.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest status that is read, in bytes.
const MAX_STATUS_BYTES: usize = 4 * 1024 * 1024;

/// Asks all nodes at once; gives nothing for those that don't answer.
pub(super) async fn fetch_statuses(nodes: &[SocketAddr]) -> Vec<Option<NodeStatus>> {
    let client = Client::new(&ClientOptions::default());
    let asked = nodes.iter().map(|node| {
        let status = status(&client, *node);
        async { tokio::time::timeout(TIMEOUT, status).await.ok().flatten() }
    });
    join_all(asked).await
}

async fn status(client: &Client, node: SocketAddr) -> Option<NodeStatus> {
    let req = Request::get(format!("http://{node}/status")).body(empty_body());
    let response = client.send(req.ok()?, TIMEOUT).await.ok()?;
    let body = collect(response.into_body(), MAX_STATUS_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
