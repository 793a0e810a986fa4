//! Detects attempts that were received before, so that a replayed request is not run again.
//!
//! Each signer numbers its attempts within its epoch, which is the time of its creation. The receiver stores a window
//! of these counts for the latest epochs of each sender. The signed route contains the receiver's incarnation, so
//! requests recorded before the receiver's start are refused without stored state.

use std::sync::Mutex;
use std::sync::PoisonError;

/// Number of consecutive counts in a window. An attempt with a lower count is refused.
const WINDOW_COUNTS: u64 = 4_096;
/// Number of bits in one word of a window.
const WORD_BITS: u64 = 64;
/// Maximum number of epochs stored for each sender. Attempts of earlier epochs are refused, such as those of earlier
/// processes of the sender.
const MAX_EPOCHS: usize = 4;

/// Received attempts, by sender.
#[derive(Debug, Default)]
pub(super) struct ReplayFilter {
    // Sorted by the sender's name.
    senders: Mutex<Vec<(String, Sender)>>,
}

/// Attempts received from one sender.
#[derive(Debug, Default)]
struct Sender {
    /// Attempts with an epoch up to this one are refused.
    max_refused_epoch: u64,
    /// One window for each stored epoch.
    windows: Vec<Window>,
}

/// The latest counts of one epoch, with one bit for each count that shows whether it was received.
#[derive(Debug)]
struct Window {
    epoch: u64,
    /// Highest count received; 0 if none, since counts start at 1.
    highest: u64,
    /// The bits, indexed by the count modulo `WINDOW_COUNTS`.
    seen: Box<[u64; (WINDOW_COUNTS / WORD_BITS) as usize]>,
}

impl ReplayFilter {
    /// Records an attempt. Returns whether it is new; an attempt that is too old to determine this counts as replayed.
    pub(super) fn insert(&self, sender: &str, epoch: u64, count: u64) -> bool {
        let mut senders = self.senders.lock().unwrap_or_else(PoisonError::into_inner);
        let found = senders.binary_search_by(|(name, _)| name.as_str().cmp(sender));
        let i = found.unwrap_or_else(|i| {
            senders.insert(i, (sender.to_owned(), Sender::default()));
            i
        });
        senders[i].1.insert(epoch, count)
    }
}

impl Sender {
    fn insert(&mut self, epoch: u64, count: u64) -> bool {
        if epoch <= self.max_refused_epoch {
            return false;
        }
        if let Some(window) = self.windows.iter_mut().find(|w| w.epoch == epoch) {
            return window.insert(count);
        }
        let mut window = Window::new(epoch);
        let is_new = window.insert(count);
        self.windows.push(window);
        if self.windows.len() > MAX_EPOCHS {
            self.windows.sort_by_key(|window| window.epoch);
            self.max_refused_epoch = self.windows.remove(0).epoch;
        }
        is_new
    }
}

impl Window {
    fn new(epoch: u64) -> Self {
        Self {
            epoch,
            highest: 0,
            seen: Box::new([0; (WINDOW_COUNTS / WORD_BITS) as usize]),
        }
    }

    fn insert(&mut self, count: u64) -> bool {
        if count > self.highest {
            // The counts in between were not received. Their bits may be set by counts one or more windows earlier.
            let first = (self.highest + 1).max(count.saturating_sub(WINDOW_COUNTS - 1));
            (first..=count).for_each(|skipped| self.clear(skipped));
            self.highest = count;
        } else if self.highest - count >= WINDOW_COUNTS {
            return false;
        }
        let (word, bit) = bit_position(count);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }

    fn clear(&mut self, count: u64) {
        let (word, bit) = bit_position(count);
        self.seen[word] &= !bit;
    }
}

/// Returns the index of the word and the bit mask for `count`.
fn bit_position(count: u64) -> (usize, u64) {
    let index = count % WINDOW_COUNTS;
    ((index / WORD_BITS) as usize, 1 << (index % WORD_BITS))
}
