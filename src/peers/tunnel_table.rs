//! Counts the tunnels of a gateway, those through others and those that it carries for others, and remembers which helpers
//! refused one.

use super::cut_off::CutOffNodes;
use super::directory::NodeEntry;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::HelperMemory;
use crate::decide::HelperView;
use crate::decide::RefusalScope;
use crate::decide::may_carry;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;

#[derive(Debug, Default)]
struct State {
    /// Tunnels of this gateway by helper, sorted by its name.
    open: Vec<(String, u32)>,
    /// Tunnels that this gateway carries, by the requester's host, sorted.
    carried: Vec<(IpAddr, u32)>,
    /// What the gateways did that were asked.
    helpers: HelperMemory,
}

/// The tunnels of one gateway.
#[derive(Debug, Default)]
pub(super) struct TunnelTable {
    state: Arc<Mutex<State>>,
    is_stopping: AtomicBool,
}

/// Counts a tunnel through a helper as open until it is dropped.
#[derive(Debug)]
pub(super) struct OpenTunnel {
    state: Arc<Mutex<State>>,
    helper: String,
}

/// Counts a tunnel that this gateway carries for another one until it is dropped.
#[derive(Debug)]
pub(super) struct CarriedTunnel {
    state: Arc<Mutex<State>>,
    requester: IpAddr,
}

impl TunnelTable {
    /// Counts a tunnel through `helper` as open.
    pub(super) fn count_open(&self, helper: &str) -> OpenTunnel {
        let mut state = lock(&self.state);
        match state
            .open
            .binary_search_by(|(name, _)| name.as_str().cmp(helper))
        {
            Ok(index) => state.open[index].1 += 1,
            Err(index) => state.open.insert(index, (helper.to_owned(), 1)),
        }
        OpenTunnel {
            state: Arc::clone(&self.state),
            helper: helper.to_owned(),
        }
    }

    /// Returns the number of this gateway's tunnels through `helper`.
    pub(super) fn open_through(&self, helper: &str) -> u32 {
        let state = lock(&self.state);
        let index = state
            .open
            .binary_search_by(|(name, _)| name.as_str().cmp(helper));
        index.map_or(0, |index| state.open[index].1)
    }

    /// Returns the number of this gateway's tunnels.
    pub(super) fn open(&self) -> u32 {
        let state = lock(&self.state);
        state.open.iter().map(|(_, count)| count).sum()
    }

    /// Records that `helper` opened no tunnel to `server`, which holds for the servers in `scope`.
    pub(super) fn record_refusal(
        &self,
        helper: &str,
        server: &BackendServer,
        scope: RefusalScope,
        now: BootInstant,
    ) {
        let mut state = lock(&self.state);
        let server = (server.entry.service.as_str(), server.id.as_str());
        state.helpers.record_refusal(helper, server, scope, now);
    }

    /// Records that `helper` opened a tunnel to `server`.
    pub(super) fn record_opened(&self, helper: &str, server: &BackendServer, now: BootInstant) {
        let mut state = lock(&self.state);
        let service = &server.entry.service;
        state.helpers.record_opened(helper, service, now);
    }

    /// Records which gateways say that they reach no server of a service.
    pub(super) fn record_cut_off(&self, services: Vec<CutOffNodes>, now: BootInstant) {
        lock(&self.state).helpers.record_cut_off(services, now);
    }

    /// Returns what is known of `node` as a helper for a tunnel to `server`.
    pub(super) fn view<'a>(
        &self,
        node: &'a NodeEntry,
        server: &BackendServer,
        now: BootInstant,
    ) -> HelperView<'a> {
        let tunnels = self.open_through(&node.name);
        let service = server.entry.service.as_str();
        let state = lock(&self.state);
        let helpers = &state.helpers;
        HelperView {
            node,
            tunnels,
            reach: helpers.reach(&node.name, service, now),
            has_refused: helpers.has_refused(&node.name, (service, &server.id), now),
        }
    }

    /// Counts a tunnel that this gateway carries for `requester`; `None` if it carries too many.
    pub(super) fn carry_for(&self, requester: IpAddr) -> Option<CarriedTunnel> {
        let mut state = lock(&self.state);
        let index = state
            .carried
            .binary_search_by(|(host, _)| host.cmp(&requester));
        let total: u32 = state.carried.iter().map(|(_, count)| count).sum();
        let own = index.map_or(0, |index| state.carried[index].1);
        if !may_carry(own, total - own) {
            return None;
        }
        match index {
            Ok(index) => state.carried[index].1 += 1,
            Err(index) => state.carried.insert(index, (requester, 1)),
        }
        Some(CarriedTunnel {
            state: Arc::clone(&self.state),
            requester,
        })
    }

    /// Returns the number of tunnels that this gateway carries.
    pub(super) fn carried(&self) -> u32 {
        lock(&self.state)
            .carried
            .iter()
            .map(|(_, count)| count)
            .sum()
    }

    /// Refuses new tunnels from now on.
    pub(super) fn start_draining(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }

    pub(super) fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }
}

impl CarriedTunnel {
    /// Ends the count, since both connections of the tunnel are closed.
    pub(super) fn close(self) {}
}

impl Drop for CarriedTunnel {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        let index = state
            .carried
            .binary_search_by(|(host, _)| host.cmp(&self.requester));
        if let Ok(index) = index {
            state.carried[index].1 -= 1;
            if state.carried[index].1 == 0 {
                state.carried.remove(index);
            }
        }
    }
}

impl Drop for OpenTunnel {
    fn drop(&mut self) {
        let mut state = lock(&self.state);
        let index = state
            .open
            .binary_search_by(|(name, _)| name.cmp(&self.helper));
        if let Ok(index) = index {
            state.open[index].1 -= 1;
            if state.open[index].1 == 0 {
                state.open.remove(index);
            }
        }
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
