//! The models of an engine and of a plain server.

use currantbend::decide::PromptPart;
use currantbend_lab::engine::Engine;
use currantbend_lab::engine::EngineSpec;
use currantbend_lab::job::Job;
use currantbend_lab::plain::PlainServer;
use currantbend_lab::plain::PlainSpec;
use currantbend_lab::server::Progress;
use currantbend_lab::server::QueuedJob;
use currantbend_lab::server::Server;

fn job(number: usize, shared: (u64, u32), own: u32, output: u32) -> Job {
    Job {
        index: number,
        kind: 0,
        team: 0,
        arrival: 0.0,
        deadline: 60_000.0,
        rank: 1,
        parts: vec![
            PromptPart {
                id: shared.0,
                tokens: shared.1,
            },
            PromptPart {
                id: 1_000 + number as u64,
                tokens: own,
            },
        ],
        output_tokens: output,
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

/// Works until there is nothing to do.
fn progress(server: &mut dyn Server) -> Vec<Progress> {
    let mut progress = Vec::new();
    while server.next_step().is_some() {
        server.step(&mut progress);
    }
    progress
}

fn first(progress: &[Progress], wanted: usize) -> f64 {
    let first = progress.iter().find_map(|progress| match progress {
        Progress::First(number, at) if *number == wanted => Some(*at),
        _ => None,
    });
    first.expect("a first event")
}

#[test]
fn a_long_prompt_takes_its_time_and_a_kept_part_doesnt() {
    let mut engine = Engine::new(EngineSpec::default());

    enqueue(&mut engine, job(0, (1, 10_000), 100, 5));
    let cold = first(&progress(&mut engine), 0);
    let began = engine.next_step();
    enqueue(&mut engine, job(1, (1, 10_000), 100, 5));
    let warm = first(&progress(&mut engine), 1);

    assert!(began.is_none());
    // 10,100 tokens at 68.2 a millisecond, in five steps of 3.82 ms.
    assert!((160.0..175.0).contains(&cold), "{cold}");
    assert!(warm < 10.0, "{warm}");
}

#[test]
fn prompts_that_are_read_hold_up_the_streams_beside_them() {
    let mut alone = Engine::new(EngineSpec::default());
    let mut beside = Engine::new(EngineSpec::default());

    enqueue(&mut alone, job(0, (1, 100), 10, 50));
    enqueue(&mut beside, job(0, (1, 100), 10, 50));
    enqueue(&mut beside, job(1, (2, 10_000), 10, 50));
    let end = |engine: &mut Engine| {
        let ended = progress(engine)
            .into_iter()
            .find_map(|progress| match progress {
                Progress::End(0, at) => Some(at),
                _ => None,
            });
        ended.expect("an end")
    };
    let (alone, beside) = (end(&mut alone), end(&mut beside));

    assert!(beside > alone + 140.0, "{alone}, {beside}");
}

#[test]
fn parts_that_were_not_used_lately_yield_their_memory() {
    let mut engine = Engine::new(EngineSpec {
        memory_tokens: 12_000,
        ..EngineSpec::default()
    });

    enqueue(&mut engine, job(0, (1, 5_000), 10, 2));
    progress(&mut engine);
    enqueue(&mut engine, job(1, (2, 9_000), 10, 2));
    progress(&mut engine);

    assert_eq!(engine.cached_tokens(&job(2, (1, 5_000), 10, 2)), 0);
    assert_eq!(engine.cached_tokens(&job(2, (2, 9_000), 10, 2)), 9_000);
}

#[test]
fn the_most_urgent_request_starts_first_where_ranks_are_told() {
    let spec = EngineSpec {
        slots: 1,
        ..EngineSpec::default()
    };
    let starts = |is_rank_ordered: bool| {
        let mut engine = Engine::new(EngineSpec {
            is_rank_ordered,
            ..spec
        });
        for number in 0..3 {
            let mut job = job(number, (1, 100), 10, 5);
            job.rank = if number == 2 { 0 } else { 1 };
            enqueue(&mut engine, job);
        }
        let progress = progress(&mut engine);
        first(&progress, 2) < first(&progress, 0)
    };

    assert!(starts(true));
    assert!(!starts(false));
}

#[test]
fn a_plain_server_runs_what_it_has_slots_for_and_turns_away_beyond_its_queue() {
    let mut server = PlainServer::new(PlainSpec {
        slots: 2,
        max_waiting: 1,
    });

    let taken: Vec<bool> = (0..4)
        .map(|number| enqueue(&mut server, job(number, (1, 0), 0, 0)))
        .collect();
    let progress = progress(&mut server);

    assert_eq!(taken, [true, true, true, false]);
    assert_eq!(first(&progress, 0), 60.0);
    assert_eq!(first(&progress, 2), 120.0);
}

#[test]
fn a_crash_takes_all_requests_and_all_parts() {
    let mut engine = Engine::new(EngineSpec::default());
    enqueue(&mut engine, job(0, (1, 500), 10, 2));
    progress(&mut engine);
    enqueue(&mut engine, job(1, (1, 500), 10, 50));

    let lost = engine.crash();

    assert_eq!(lost, [1]);
    assert_eq!(engine.cached_tokens(&job(2, (1, 500), 10, 2)), 0);
    assert_eq!(engine.load(), 0);
}
