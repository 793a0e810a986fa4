//! Fetches the status of nodes from their operations addresses.

use crate::border::generated::config::NodeStatus;
use crate::net::Client;
use crate::net::ClientOptions;
use crate::net::collect;
use crate::net::empty_body;
use futures_util::future::join_all;
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum time to wait for the response of a node.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a status response in bytes.
const MAX_STATUS_BYTES: usize = 4 * 1024 * 1024;

/// Fetches the status of all nodes concurrently, with `None` for each node that does not respond.
pub(super) async fn fetch_statuses(nodes: &[SocketAddr]) -> Vec<Option<NodeStatus>> {
    let client = Client::new(&ClientOptions::default());
    let requests = nodes.iter().map(|node| {
        let status = fetch_status(&client, *node);
        async { tokio::time::timeout(TIMEOUT, status).await.ok().flatten() }
    });
    join_all(requests).await
}

async fn fetch_status(client: &Client, node: SocketAddr) -> Option<NodeStatus> {
    let req = Request::get(format!("http://{node}/status")).body(empty_body());
    let response = client.send(req.ok()?, TIMEOUT).await.ok()?;
    let body = collect(response.into_body(), MAX_STATUS_BYTES).await.ok()?;
    serde_json::from_slice(&body).ok()
}
