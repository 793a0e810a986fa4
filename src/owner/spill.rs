//! A table of fixed size with the two most recent backend servers of each chat.

use siphasher::sip::SipHasher13;
use std::hash::Hasher;
use std::mem::size_of;
use std::sync::Mutex;
use std::sync::PoisonError;

/// Entries per set; a new chat replaces the least recently used entry of its set.
const WAYS: usize = 4;

/// One chat. Names are stored as hashes, which keeps an entry at 32 bytes whatever their length.
#[derive(Clone, Copy, Debug, Default)]
struct Entry {
    /// Hash of the chat's id; 0 in an empty entry.
    chat: u64,
    /// Hash of the most recent backend server's name.
    newest: u64,
    /// Hash of the name of the backend server before that, or 0 if there was none.
    older: u64,
    /// Value of [`Inner::clock`] when the chat was last recorded.
    last_used: u64,
}

/// Maps a chat to its two most recent backend servers.
#[derive(Debug)]
pub(super) struct SpillTable {
    // Sets of `WAYS` entries, chosen by the chat's hash: a sorted vector of a hundred thousand chats would have to move
    // its entries on each insert.
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    entries: Vec<Entry>,
    /// Number of calls of [`SpillTable::record`], which orders entries by their last use.
    clock: u64,
}

/// The two most recent backend servers of a chat, as hashes of their names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RecentBackends {
    newest: u64,
    older: u64,
}

impl RecentBackends {
    /// Returns whether `backend` is the most recent.
    pub(super) fn is_newest(self, backend: &str) -> bool {
        self.newest == hash(backend)
    }

    /// Returns whether `backend` is one of the two.
    pub(super) fn contains(self, backend: &str) -> bool {
        let hash = hash(backend);
        self.newest == hash || self.older == hash
    }
}

impl SpillTable {
    /// Creates a table of at most `bytes` bytes, but of at least one set.
    pub(super) fn new(bytes: usize) -> Self {
        let sets = (bytes / (WAYS * size_of::<Entry>())).max(1);
        Self {
            inner: Mutex::new(Inner {
                entries: vec![Entry::default(); sets * WAYS],
                clock: 0,
            }),
        }
    }

    /// Records that `chat` is now on `backend`.
    pub(super) fn record(&self, chat: &str, backend: &str) {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        inner.clock += 1;
        let last_used = inner.clock;
        let chat = hash(chat);
        let set = inner.set(chat);
        let found = set.iter().position(|entry| entry.chat == chat);
        let oldest = || {
            (0..set.len())
                .min_by_key(|&i| set[i].last_used)
                .unwrap_or(0)
        };
        let i = found.unwrap_or_else(oldest);
        let newest = hash(backend);
        let before = if found.is_some() { set[i].newest } else { 0 };
        let older = if before == newest {
            set[i].older
        } else {
            before
        };
        set[i] = Entry {
            chat,
            newest,
            older,
            last_used,
        };
    }

    /// Returns the two most recent backend servers of `chat`, if the table has the chat.
    pub(super) fn recent_backends(&self, chat: &str) -> Option<RecentBackends> {
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let chat = hash(chat);
        let entry = inner.set(chat).iter().find(|entry| entry.chat == chat)?;
        Some(RecentBackends {
            newest: entry.newest,
            older: entry.older,
        })
    }
}

impl Inner {
    fn set(&mut self, chat: u64) -> &mut [Entry] {
        let sets = self.entries.len() / WAYS;
        let first = (chat % sets as u64) as usize * WAYS;
        &mut self.entries[first..first + WAYS]
    }
}

/// Hashes a name or a chat's id; the hash is never zero, since zero marks an empty entry.
fn hash(name: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(name.as_bytes());
    hasher.finish().max(1)
}
