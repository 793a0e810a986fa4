//! The prefix cache of a model engine: a tree of messages with eviction of the least recently used branches.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hasher;

use crate::answer::token_count;

/// The beginning of a chat, up to and including one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Prefix {
    /// Hash of all messages so far.
    pub hash: u64,
    /// Tokens of all messages so far.
    pub tokens: u64,
}

/// Returns the prefixes of a chat, the shortest first.
pub fn prefixes(messages: &Value) -> Vec<Prefix> {
    let mut all = Vec::new();
    for message in messages.as_array().into_iter().flatten() {
        let role = message["role"].as_str().unwrap_or_default();
        match message["content"].as_str() {
            Some(text) => extend(&mut all, role, text),
            None => extend(&mut all, role, &message["content"].to_string()),
        }
    }
    all
}

/// Appends the prefix that ends with a new message to the prefixes of a chat.
pub fn extend(all: &mut Vec<Prefix>, role: &str, text: &str) {
    let last = all.last().copied();
    let previous = last.unwrap_or(Prefix { hash: 0, tokens: 0 });
    let hash = hash_bytes(hash_bytes(previous.hash, role.as_bytes()), text.as_bytes());
    all.push(Prefix {
        hash,
        tokens: previous.tokens + token_count(text),
    });
}

/// Hashes bytes with a key; the hash is the same in each run.
pub fn hash_bytes(key: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(key, 0);
    hasher.write(bytes);
    hasher.finish()
}

/// A prefix cache with a limited number of tokens.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    cached_tokens: u64,
    use_counter: u64,
    // Hash maps because an engine's cache holds tens of thousands of messages.
    nodes: HashMap<u64, Node>,
    chats: HashMap<String, Vec<Prefix>>,
    /// Last use and hash of each node without children, the least recently used first.
    leaves: BTreeSet<(u64, u64)>,
}

#[derive(Debug)]
struct Node {
    parent: Option<u64>,
    tokens: u64,
    children: u32,
    last_used: u64,
    chat: String,
}

/// A branch that was evicted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evicted {
    /// The chat that stored the branch last.
    pub chat: String,
    /// Tokens that were evicted.
    pub tokens: u64,
}

impl PrefixCache {
    /// Creates an empty cache for `capacity` tokens.
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache {
            capacity,
            cached_tokens: 0,
            use_counter: 0,
            nodes: HashMap::new(),
            chats: HashMap::new(),
            leaves: BTreeSet::new(),
        }
    }

    /// Returns the number of tokens of the longest cached prefix, and marks it as used.
    pub fn lookup(&mut self, prefixes: &[Prefix]) -> u64 {
        let cached = prefixes
            .iter()
            .take_while(|prefix| self.nodes.contains_key(&prefix.hash))
            .count();
        self.use_counter += 1;
        for prefix in &prefixes[..cached] {
            self.mark_used(prefix.hash);
        }
        prefixes[..cached].last().map_or(0, |prefix| prefix.tokens)
    }

    /// Stores a chat; returns the branches that were evicted to make room for it.
    pub fn store(&mut self, chat: &str, prefixes: &[Prefix]) -> Vec<Evicted> {
        self.use_counter += 1;
        let mut parent: Option<Prefix> = None;
        for prefix in prefixes {
            if !self.nodes.contains_key(&prefix.hash) {
                self.insert(chat, *prefix, parent);
            }
            self.mark_used(prefix.hash);
            parent = Some(*prefix);
        }
        if let Some(node) = parent.and_then(|leaf| self.nodes.get_mut(&leaf.hash)) {
            node.chat = chat.to_owned();
        }
        self.chats.insert(chat.to_owned(), prefixes.to_vec());
        let mut evicted = Vec::new();
        while self.cached_tokens > self.capacity {
            let Some(branch) = self.evict() else { break };
            evicted.push(branch);
        }
        evicted
    }

    /// Returns all prefixes of a chat, or `None` if its last message is no longer cached.
    pub fn chat(&self, chat: &str) -> Option<&[Prefix]> {
        self.chats.get(chat).map(Vec::as_slice)
    }

    /// Returns the number of cached tokens.
    pub fn total(&self) -> u64 {
        self.cached_tokens
    }

    fn insert(&mut self, chat: &str, prefix: Prefix, parent: Option<Prefix>) {
        if let Some(node) = parent.and_then(|parent| self.nodes.get_mut(&parent.hash)) {
            node.children += 1;
        }
        let tokens = prefix.tokens - parent.map_or(0, |parent| parent.tokens);
        self.cached_tokens += tokens;
        let node = Node {
            parent: parent.map(|parent| parent.hash),
            tokens,
            children: 0,
            last_used: self.use_counter,
            chat: chat.to_owned(),
        };
        self.nodes.insert(prefix.hash, node);
        self.leaves.insert((self.use_counter, prefix.hash));
        if let Some(parent) = parent {
            // The parent of a new node is no longer a leaf.
            let last_used = self.nodes[&parent.hash].last_used;
            self.leaves.remove(&(last_used, parent.hash));
        }
    }

    fn mark_used(&mut self, hash: u64) {
        let use_counter = self.use_counter;
        let Some(node) = self.nodes.get_mut(&hash) else {
            return;
        };
        if self.leaves.remove(&(node.last_used, hash)) {
            self.leaves.insert((use_counter, hash));
        }
        node.last_used = use_counter;
    }

    /// Evicts the least recently used leaf and its ancestors, up to the first one that has other children.
    fn evict(&mut self) -> Option<Evicted> {
        let (_, leaf) = self.leaves.pop_first()?;
        let chat = self.nodes[&leaf].chat.clone();
        let mut tokens = 0;
        let mut next = Some(leaf);
        while let Some(hash) = next {
            let Some(node) = self.nodes.remove(&hash) else {
                break;
            };
            tokens += node.tokens;
            let stored = self.chats.get(&node.chat).and_then(|all| all.last());
            if stored.is_some_and(|last| last.hash == hash) {
                self.chats.remove(&node.chat);
            }
            next = self.remove_child(node.parent);
        }
        self.cached_tokens -= tokens;
        Some(Evicted { chat, tokens })
    }

    /// Removes a child from a node; returns the node if it has no children left.
    fn remove_child(&mut self, parent: Option<u64>) -> Option<u64> {
        let hash = parent?;
        let node = self.nodes.get_mut(&hash)?;
        node.children -= 1;
        (node.children == 0).then_some(hash)
    }
}
