//! Exchanges the loads of this data centre with those of another one, while this node is the relay.

use super::crash_cursor::CrashCursor;
use super::directory::NodeEntry;
use super::link::Link;
use super::load_table::aged;
use super::message::STREAM_PUSH_PROTOCOL;
use super::message::SyncResponse;
use super::node::ReceivedStamps;
use super::node::Shared;
use super::streams::RecordSource;
use super::sync::RELAY_RECHECK_INTERVAL;
use super::sync::SYNC_INTERVAL;
use crate::clock::BootInstant;
use std::sync::Arc;

/// While this node is the relay, exchanges load sums with the relay of `data_centre`.
pub(super) async fn run(shared: Arc<Shared>, data_centre: String) {
    loop {
        if shared.duties.is_relay()
            && let Some(node) = shared.nodes.first_relay(&data_centre)
            && let Err(cause) = exchange_loads(&shared, &node, &data_centre).await
        {
            shared.nodes.mark_unreachable(&node, &cause);
        }
        tokio::time::sleep(SYNC_INTERVAL).await;
    }
}

/// Exchanges load sums with `node`, and takes over what it has read from the store if it reads for all data centres. Ends when
/// this node is no longer the relay or, after [`RELAY_RECHECK_INTERVAL`], `data_centre` has another first reachable relay.
async fn exchange_loads(
    shared: &Shared,
    node: &NodeEntry,
    data_centre: &str,
) -> Result<(), String> {
    let mut link = Link::open(node).await?;
    let mut received = ReceivedStamps::default();
    let sources = [RecordSource::Own, RecordSource::Member];
    let mut next_record = 0;
    let mut needs_records = false;
    let mut crash_cursor = CrashCursor::new(&shared.quarantine);
    let began = BootInstant::now();
    while shared.duties.is_relay() {
        let now = BootInstant::now();
        let loads = shared.load_table.own_centre(now);
        let mut request = shared.sync_request(loads, &received);
        request.teams = shared.team_table.own_centre(now);
        request.cut_off = shared.cut_off_table.own_centre(now);
        request.wants_catalog = shared.nodes.store_reader().as_deref() == Some(&node.name);
        if needs_records && shared.backup_centre.as_deref() == Some(data_centre) {
            (request.streams, next_record) =
                shared.streams.records_from(next_record, &sources, now);
        }
        crash_cursor.add_records(&shared.quarantine, &mut request, now);
        let mut response: SyncResponse = link.request(&request).await?;
        needs_records = response.protocol < STREAM_PUSH_PROTOCOL;
        shared.nodes.mark_reachable(node);
        if request.wants_catalog && !response.is_disconnected && !shared.is_behind(&response) {
            shared.apply_catalog(&mut response, now, &mut received);
        }
        shared.apply_version_history(&mut response, now);
        shared
            .cut_off_table
            .record_centre(data_centre, response.cut_off, now);
        let theirs = response
            .centres
            .into_iter()
            .find(|centre| centre.data_centre == data_centre);
        if let Some(theirs) = theirs {
            let received_at = BootInstant::now();
            let loads = aged(&theirs.loads, received_at.since(now));
            let teams = theirs.teams;
            shared
                .team_table
                .record_centre(data_centre, teams, received_at);
            shared
                .load_table
                .record_centre(data_centre, loads, received_at);
        }
        let is_over = BootInstant::now().since(began) > RELAY_RECHECK_INTERVAL;
        if is_over && shared.nodes.has_other_relay(data_centre, node) {
            return Ok(());
        }
        crash_cursor.wait(SYNC_INTERVAL).await;
    }
    Ok(())
}
