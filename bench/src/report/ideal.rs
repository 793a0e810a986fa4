//! The cache reuse that stable hashing without a load bound would reach for the same calls, for comparison with the
//! measured one. Each chat goes to the engine that rendezvous hashing ranks first. The caches are modelled with the
//! cache of the stand-in engines.

use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use super::ratio;
use crate::fleet::EngineChange;
use crate::load::CallOutcome;
use crate::load::CallRecord;
use crate::standin::cache::PrefixCache;

struct Engine<'a> {
    name: &'a str,
    cache: PrefixCache,
}

/// Replays the answered chat calls in the order of their starts and returns the share of prompt tokens that are cached.
pub fn cache_reuse(calls: &[CallRecord], changes: &[EngineChange], cache_tokens: u64) -> f64 {
    let mut answered: Vec<&CallRecord> = calls
        .iter()
        .filter(|call| call.is_chat() && call.outcome == CallOutcome::Answered)
        .collect();
    answered.sort_by_key(|call| call.started);
    let mut changes = changes.iter().peekable();
    let mut engines: Vec<Engine<'_>> = Vec::new();
    let mut cached = 0;
    let mut prompt = 0;
    for call in answered {
        while let Some(change) = changes.next_if(|change| change.at <= call.started) {
            apply_change(&mut engines, change, cache_tokens);
        }
        let Some(engine) = engines
            .iter_mut()
            .max_by_key(|engine| rendezvous_weight(engine.name, &call.chat))
        else {
            continue;
        };
        cached += engine.cache.lookup(&call.prompt);
        prompt += call.prompt.last().map_or(0, |prefix| prefix.tokens);
        let mut with_answer = call.prompt.clone();
        with_answer.extend(call.answer);
        engine.cache.store(&call.chat, &with_answer);
    }
    ratio(cached as f64, prompt as f64)
}

fn apply_change<'a>(engines: &mut Vec<Engine<'a>>, change: &'a EngineChange, cache_tokens: u64) {
    engines.retain(|engine| engine.name != change.engine);
    if change.joined {
        engines.push(Engine {
            name: &change.engine,
            cache: PrefixCache::new(cache_tokens),
        });
    }
}

fn rendezvous_weight(engine: &str, chat: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    hasher.write(engine.as_bytes());
    hasher.write_u8(0);
    hasher.write(chat.as_bytes());
    hasher.finish()
}
