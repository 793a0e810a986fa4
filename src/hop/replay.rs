//! Remembers which attempts have come, so that a recorded one is not run again.
//!
//! Each process counts its attempts; the receiver keeps a window of counts for the latest processes of each sender.
//! Codes name the receiver's incarnation, so that what was recorded before its start is refused without memory.

use std::sync::Mutex;
use std::sync::PoisonError;

/// Counts that a window tells apart; older ones are refused.
const WINDOW: u64 = 4_096;
/// Bits of one word of a window.
const WORD: u64 = 64;
/// Processes of one sender that are remembered; those started before them are refused.
const EPOCHS: usize = 4;

/// Attempts that have come, by sender.
#[derive(Debug, Default)]
pub(super) struct ReplayFilter {
    // Sorted by name.
    senders: Mutex<Vec<(String, Sender)>>,
}

#[derive(Debug, Default)]
struct Sender {
    /// Epochs up to this one are refused.
    floor: u64,
    windows: Vec<Window>,
}

/// Which of the latest counts of one process have come.
#[derive(Debug)]
struct Window {
    epoch: u64,
    highest: u64,
    seen: Box<[u64; (WINDOW / WORD) as usize]>,
}

impl ReplayFilter {
    /// Notes an attempt and tells whether it comes for the first time.
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
        if epoch <= self.floor {
            return false;
        }
        if let Some(window) = self.windows.iter_mut().find(|w| w.epoch == epoch) {
            return window.insert(count);
        }
        let mut window = Window::new(epoch);
        let is_new = window.insert(count);
        self.windows.push(window);
        if self.windows.len() > EPOCHS {
            self.windows.sort_by_key(|window| window.epoch);
            self.floor = self.windows.remove(0).epoch;
        }
        is_new
    }
}

impl Window {
    fn new(epoch: u64) -> Self {
        Self {
            epoch,
            highest: 0,
            seen: Box::new([0; (WINDOW / WORD) as usize]),
        }
    }

    fn insert(&mut self, count: u64) -> bool {
        if count > self.highest {
            // What lies between has not come; its places may still hold counts of a window before.
            let first = (self.highest + 1).max(count.saturating_sub(WINDOW - 1));
            (first..=count).for_each(|skipped| self.clear(skipped));
            self.highest = count;
        } else if self.highest - count >= WINDOW {
            return false;
        }
        let (word, bit) = place(count);
        let is_new = self.seen[word] & bit == 0;
        self.seen[word] |= bit;
        is_new
    }

    fn clear(&mut self, count: u64) {
        let (word, bit) = place(count);
        self.seen[word] &= !bit;
    }
}

fn place(count: u64) -> (usize, u64) {
    let index = count % WINDOW;
    ((index / WORD) as usize, 1 << (index % WORD))
}
