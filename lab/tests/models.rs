//! Tests of the simulated engine and plain server.

use currantbend::decide::PromptPart;
use currantbend_lab::engine::Engine;
use currantbend_lab::engine::EngineSpec;
use currantbend_lab::job::Job;
use currantbend_lab::plain::PlainServer;
use currantbend_lab::plain::PlainSpec;
use currantbend_lab::server::Progress;
use currantbend_lab::server::QueuedJob;
use currantbend_lab::server::Server;

/// Creates a job whose prompt has a shared part, given by its id and number of tokens, and an own part.
fn job(index: usize, shared_part: (u64, u32), own_tokens: u32, output_tokens: u32) -> Job {
    Job {
        index,
        kind: 0,
        team: 0,
        arrival: 0.0,
        deadline: 60_000.0,
        rank: 1,
        parts: vec![
            PromptPart {
                id: shared_part.0,
                tokens: shared_part.1,
            },
            PromptPart {
                id: 1_000 + index as u64,
                tokens: own_tokens,
            },
        ],
        output_tokens,
        service_time: 60.0,
        retries_left: 0,
        is_retry: false,
    }
}

fn enqueue(server: &mut dyn Server, job: Job) -> bool {
    let queued = QueuedJob {
        job,
        ready_at: 0.0,
        copied_tokens: 0,
    };
    server.enqueue(0.0, queued).is_ok()
}

/// Runs the server until it has no requests left, and returns their progress.
fn run_to_end(server: &mut dyn Server) -> Vec<Progress> {
    let mut progress = Vec::new();
    while server.next_step().is_some() {
        server.step(&mut progress);
    }
    progress
}

/// Returns the time of the first event of the job with index `wanted`.
fn first_event(progress: &[Progress], wanted: usize) -> f64 {
    let time = progress.iter().find_map(|progress| match progress {
        Progress::First(index, at) if *index == wanted => Some(*at),
        _ => None,
    });
    time.expect("a first event")
}

#[test]
fn a_long_prompt_delays_the_first_event_unless_it_is_cached() {
    let mut engine = Engine::new(EngineSpec::default());

    enqueue(&mut engine, job(0, (1, 10_000), 100, 5));
    let uncached = first_event(&run_to_end(&mut engine), 0);
    let next_step = engine.next_step();
    enqueue(&mut engine, job(1, (1, 10_000), 100, 5));
    let cached = first_event(&run_to_end(&mut engine), 1);

    assert!(next_step.is_none());
    // 10,100 tokens at 68.2 a millisecond, in five steps of 3.82 ms.
    assert!((160.0..175.0).contains(&uncached), "{uncached}");
    assert!(cached < 10.0, "{cached}");
}

#[test]
fn processing_a_prompt_slows_concurrent_streams_down() {
    let mut alone = Engine::new(EngineSpec::default());
    let mut with_prompt = Engine::new(EngineSpec::default());

    enqueue(&mut alone, job(0, (1, 100), 10, 50));
    enqueue(&mut with_prompt, job(0, (1, 100), 10, 50));
    enqueue(&mut with_prompt, job(1, (2, 10_000), 10, 50));
    let end = |engine: &mut Engine| {
        let time = run_to_end(engine)
            .into_iter()
            .find_map(|progress| match progress {
                Progress::End(0, at) => Some(at),
                _ => None,
            });
        time.expect("an end")
    };
    let (alone, with_prompt) = (end(&mut alone), end(&mut with_prompt));

    assert!(with_prompt > alone + 140.0, "{alone}, {with_prompt}");
}

#[test]
fn the_least_recently_used_part_is_evicted() {
    let mut engine = Engine::new(EngineSpec {
        memory_tokens: 12_000,
        ..EngineSpec::default()
    });

    enqueue(&mut engine, job(0, (1, 5_000), 10, 2));
    run_to_end(&mut engine);
    enqueue(&mut engine, job(1, (2, 9_000), 10, 2));
    run_to_end(&mut engine);

    assert_eq!(engine.cached_tokens(&job(2, (1, 5_000), 10, 2)), 0);
    assert_eq!(engine.cached_tokens(&job(2, (2, 9_000), 10, 2)), 9_000);
}

#[test]
fn the_most_urgent_request_starts_first_if_the_queue_is_rank_ordered() {
    let spec = EngineSpec {
        slots: 1,
        ..EngineSpec::default()
    };
    let is_urgent_first = |is_rank_ordered: bool| {
        let mut engine = Engine::new(EngineSpec {
            is_rank_ordered,
            ..spec
        });
        for index in 0..3 {
            let mut job = job(index, (1, 100), 10, 5);
            job.rank = if index == 2 { 0 } else { 1 };
            enqueue(&mut engine, job);
        }
        let progress = run_to_end(&mut engine);
        first_event(&progress, 2) < first_event(&progress, 0)
    };

    assert!(is_urgent_first(true));
    assert!(!is_urgent_first(false));
}

#[test]
fn a_plain_server_rejects_calls_when_its_slots_and_its_queue_are_full() {
    let mut server = PlainServer::new(PlainSpec {
        slots: 2,
        max_waiting: 1,
    });

    let accepted: Vec<bool> = (0..4)
        .map(|index| enqueue(&mut server, job(index, (1, 0), 0, 0)))
        .collect();
    let progress = run_to_end(&mut server);

    assert_eq!(accepted, [true, true, true, false]);
    assert_eq!(first_event(&progress, 0), 60.0);
    assert_eq!(first_event(&progress, 2), 120.0);
}

#[test]
fn a_crash_drops_all_requests_and_cached_parts() {
    let mut engine = Engine::new(EngineSpec::default());
    enqueue(&mut engine, job(0, (1, 500), 10, 2));
    run_to_end(&mut engine);
    enqueue(&mut engine, job(1, (1, 500), 10, 50));

    let lost = engine.crash();

    assert_eq!(lost, [1]);
    assert_eq!(engine.cached_tokens(&job(2, (1, 500), 10, 2)), 0);
    assert_eq!(engine.load(), 0);
}
