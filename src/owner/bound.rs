//! The load bound: `max(floor, ceil(c × mean))`, enforced with a margin because the known mean is out of date.

use crate::border::generated::config::Service;

/// One, in thousandths.
const PERMILLE: f64 = 1_000.0;

/// The bound of one service, with this node's margin.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Bound {
    floor: u32,
    /// The factor c, with its excess over 1 reduced by the margin.
    c_with_margin: f64,
}

impl Bound {
    /// Creates the bound from the service's configuration; `margin_permille` is the share of c's excess over 1 that is
    /// held back, since the mean is always somewhat out of date.
    pub(super) fn new(service: &Service, margin_permille: u32) -> Self {
        let excess = (f64::from(service.bound_permille) / PERMILLE - 1.0).max(0.0);
        let remaining = 1.0 - f64::from(margin_permille) / PERMILLE;
        Self {
            floor: service.floor.max(1),
            c_with_margin: 1.0 + excess * remaining,
        }
    }

    /// Returns the maximum number of requests in flight at one backend server; `mean` includes the request to be
    /// admitted.
    ///
    /// The limit is rounded down although the bound is rounded up; this leaves a margin of up to one request for the
    /// age of the mean. It is always above the mean: otherwise the limit itself would keep the mean from growing with
    /// the demand.
    pub(super) fn limit(&self, mean: f64) -> u32 {
        // A mean of requests in flight is far below `u32::MAX`.
        let scaled = (self.c_with_margin * mean).floor() as u32;
        let above_mean = mean.floor() as u32 + 1;
        scaled.max(above_mean).max(self.floor)
    }
}
