//! A caller that sends each payment through all nodes at the same time, under one key, as an impatient client library
//! behind several balancers would.

use std::sync::Arc;
use std::time::Instant;

use futures_util::future::join_all;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

use super::LoadOptions;
use super::attempt::CallContext;
use super::attempt::send_call;
use super::client::Client;
use super::directory::Directory;
use super::payment::Payment;
use super::record::CallOutcome;
use super::record::CallRecord;

/// One way of the payments: a node and the connections to it.
struct Way {
    node: String,
    client: Client,
    rng: StdRng,
}

/// A caller that repeats each payment through all nodes at once.
pub struct GroupCaller {
    index: u32,
    options: LoadOptions,
    directory: Arc<Directory>,
    rng: StdRng,
    ways: Vec<Way>,
    calls: u32,
}

impl GroupCaller {
    /// Makes the caller with the given index.
    pub fn new(
        index: u32,
        options: &LoadOptions,
        directory: Arc<Directory>,
        mut rng: StdRng,
    ) -> GroupCaller {
        let way = |node: String| Way {
            node,
            client: Client::new(),
            rng: StdRng::seed_from_u64(rng.random()),
        };
        let ways = directory.nodes().into_iter().map(|node| node.name);
        let ways = ways.map(way).collect();
        GroupCaller {
            index,
            options: options.clone(),
            directory,
            rng,
            ways,
            calls: 0,
        }
    }

    /// Calls until `until`.
    pub async fn run(mut self, until: Instant) -> Vec<CallRecord> {
        let mut records = Vec::new();
        while Instant::now() < until {
            records.push(self.call().await);
            let pause = self
                .rng
                .random_range(std::time::Duration::ZERO..=self.options.max_pause);
            tokio::time::sleep(pause).await;
        }
        records
    }

    async fn call(&mut self) -> CallRecord {
        self.calls += 1;
        let call = format!("group-{}-{}", self.index, self.calls);
        let team = &self.options.teams[self.index as usize % self.options.teams.len()];
        let amount = self.rng.random_range(1..10_000);
        let payment = Payment::new(&self.options.plain, team, &call, amount);
        let record = self.send(&payment).await;
        if !record.outcome.needs_ticket() {
            return record;
        }
        let node = self.directory.pick(&mut self.rng);
        let mut client = Client::new();
        let Some(ticket) = payment.request_ticket(&mut client, &node).await else {
            return record;
        };
        let ticketed = self.send(&payment.with_ticket(ticket)).await;
        ticketed.with_earlier_attempts(record)
    }

    async fn send(&mut self, payment: &Payment) -> CallRecord {
        let directory = &self.directory;
        let sends = self
            .ways
            .iter_mut()
            .enumerate()
            .map(|(number, way)| async move {
                let mut record = payment.record(&format!("{}-way{number}", payment.call()));
                let mut context = CallContext {
                    client: &mut way.client,
                    directory,
                    rng: &mut way.rng,
                    pinned: Some(&way.node),
                };
                let request = |id: &str| payment.request(id);
                send_call(&mut context, &mut record, request, &payment.expected()).await;
                record
            });
        let ways = join_all(sends).await;
        combine(&payment.record(payment.call()), ways)
    }
}

/// Makes one record of what all the ways brought: what the caller knows of the payment in the end. A refusal on one way
/// says nothing of the others, so only the last one of all ways is kept.
fn combine(whole: &CallRecord, ways: Vec<CallRecord>) -> CallRecord {
    let mut whole = whole.clone();
    if let Some(telling) = ways
        .into_iter()
        .max_by_key(|way| (weight(&way.outcome), way.ended))
    {
        whole.node = telling.node;
        whole.started = telling.started;
        whole.first_byte = telling.first_byte;
        whole.ended = telling.ended;
        whole.outcome = telling.outcome;
        if matches!(whole.outcome, CallOutcome::NotRun { .. }) {
            whole.not_run_at.push(whole.ended);
        }
    }
    whole
}

/// Orders ends by how much they tell: a fault first, then an answer, then a doubt; certain only where all ways are.
fn weight(outcome: &CallOutcome) -> u8 {
    match outcome {
        CallOutcome::Wrong { .. } => 6,
        CallOutcome::Incomplete => 5,
        CallOutcome::CutOff => 4,
        CallOutcome::Answered => 3,
        CallOutcome::Unknown { .. }
        | CallOutcome::Broken { .. }
        | CallOutcome::ErrorEvent { .. } => 2,
        CallOutcome::NotRun { .. } => 1,
        CallOutcome::Refused => 0,
    }
}
