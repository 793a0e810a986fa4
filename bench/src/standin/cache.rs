//! The prefix cache of a model engine: a tree of messages, the least recently used branches of which are evicted.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;
use siphasher::sip::SipHasher13;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::hash::Hasher;

use crate::answer::token_count;

/// A chat up to and including one message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Prefix {
    /// Hash of all messages so far.
    pub hash: u64,
    /// Tokens of all messages so far.
    pub tokens: u64,
}

/// The prefixes of a chat, the shortest first.
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

/// Adds a message to the prefixes of a chat.
pub fn extend(all: &mut Vec<Prefix>, role: &str, text: &str) {
    let last = all.last().copied();
    let before = last.unwrap_or(Prefix { hash: 0, tokens: 0 });
    let hash = hash_bytes(hash_bytes(before.hash, role.as_bytes()), text.as_bytes());
    all.push(Prefix {
        hash,
        tokens: before.tokens + token_count(text),
    });
}

/// Hash of bytes under a key, the same in each run.
pub fn hash_bytes(key: u64, bytes: &[u8]) -> u64 {
    let mut hasher = SipHasher13::new_with_keys(key, 0);
    hasher.write(bytes);
    hasher.finish()
}

/// A prefix cache of limited size.
#[derive(Debug)]
pub struct PrefixCache {
    capacity: u64,
    total: u64,
    clock: u64,
    // Hash maps, because an engine's cache holds tens of thousands of messages.
    nodes: HashMap<u64, Node>,
    chats: HashMap<String, Vec<Prefix>>,
    /// Nodes without children, by last use.
    leaves: BTreeSet<(u64, u64)>,
}

#[derive(Debug)]
struct Node {
    parent: Option<u64>,
    tokens: u64,
    children: u32,
    used: u64,
    chat: String,
}

/// A branch that was evicted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Evicted {
    /// The chat that stored it last.
    pub chat: String,
    /// Tokens that were evicted.
    pub tokens: u64,
}

impl PrefixCache {
    /// An empty cache for `capacity` tokens.
    pub fn new(capacity: u64) -> PrefixCache {
        PrefixCache {
            capacity,
            total: 0,
            clock: 0,
            nodes: HashMap::new(),
            chats: HashMap::new(),
            leaves: BTreeSet::new(),
        }
    }

    /// Tokens of the longest cached prefix, which counts as used now.
    pub fn lookup(&mut self, prefixes: &[Prefix]) -> u64 {
        let known = prefixes
            .iter()
            .take_while(|prefix| self.nodes.contains_key(&prefix.hash))
            .count();
        self.clock += 1;
        for prefix in &prefixes[..known] {
            self.touch(prefix.hash);
        }
        prefixes[..known].last().map_or(0, |prefix| prefix.tokens)
    }

    /// Stores a chat; gives the branches that made room for it.
    pub fn store(&mut self, chat: &str, prefixes: &[Prefix]) -> Vec<Evicted> {
        self.clock += 1;
        let mut parent: Option<Prefix> = None;
        for prefix in prefixes {
            if !self.nodes.contains_key(&prefix.hash) {
                self.insert(chat, *prefix, parent);
            }
            self.touch(prefix.hash);
            parent = Some(*prefix);
        }
        if let Some(node) = parent.and_then(|leaf| self.nodes.get_mut(&leaf.hash)) {
            node.chat = chat.to_owned();
        }
        self.chats.insert(chat.to_owned(), prefixes.to_vec());
        let mut evicted = Vec::new();
        while self.total > self.capacity {
            let Some(branch) = self.evict() else { break };
            evicted.push(branch);
        }
        evicted
    }

    /// The whole stored prefixes of a chat, where it is still cached.
    pub fn chat(&self, chat: &str) -> Option<&[Prefix]> {
        self.chats.get(chat).map(Vec::as_slice)
    }

    /// Tokens that are cached.
    pub fn total(&self) -> u64 {
        self.total
    }

    fn insert(&mut self, chat: &str, prefix: Prefix, parent: Option<Prefix>) {
        if let Some(node) = parent.and_then(|parent| self.nodes.get_mut(&parent.hash)) {
            node.children += 1;
        }
        let tokens = prefix.tokens - parent.map_or(0, |parent| parent.tokens);
        self.total += tokens;
        let node = Node {
            parent: parent.map(|parent| parent.hash),
            tokens,
            children: 0,
            used: self.clock,
            chat: chat.to_owned(),
        };
        self.nodes.insert(prefix.hash, node);
        self.leaves.insert((self.clock, prefix.hash));
        if let Some(parent) = parent {
            // A parent of a new node is no leaf any more.
            let used = self.nodes[&parent.hash].used;
            self.leaves.remove(&(used, parent.hash));
        }
    }

    fn touch(&mut self, hash: u64) {
        let clock = self.clock;
        let Some(node) = self.nodes.get_mut(&hash) else {
            return;
        };
        if self.leaves.remove(&(node.used, hash)) {
            self.leaves.insert((clock, hash));
        }
        node.used = clock;
    }

    /// Evicts the least recently used leaf, and its branch up to where another chat shares it.
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
            next = self.orphan(node.parent);
        }
        self.total -= tokens;
        Some(Evicted { chat, tokens })
    }

    /// Takes a child from a node; gives the node where it has none left.
    fn orphan(&mut self, parent: Option<u64>) -> Option<u64> {
        let hash = parent?;
        let node = self.nodes.get_mut(&hash)?;
        node.children -= 1;
        (node.children == 0).then_some(hash)
    }
}
