//! A caller that sends each payment through all nodes at the same time under one idempotency key, like a client library
//! that sends hedged requests through several load balancers.

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

/// Sends payments to one node.
struct NodeSender {
    node: String,
    client: Client,
    rng: StdRng,
}

/// A caller that sends each payment through all nodes at the same time.
pub struct GroupCaller {
    index: u32,
    options: LoadOptions,
    directory: Arc<Directory>,
    rng: StdRng,
    senders: Vec<NodeSender>,
    calls: u32,
}

impl GroupCaller {
    /// Creates the caller with the given index.
    pub fn new(
        index: u32,
        options: &LoadOptions,
        directory: Arc<Directory>,
        mut rng: StdRng,
    ) -> GroupCaller {
        let new_sender = |node: String| NodeSender {
            node,
            client: Client::new(),
            rng: StdRng::seed_from_u64(rng.random()),
        };
        let senders = directory.nodes().into_iter().map(|node| node.name);
        let senders = senders.map(new_sender).collect();
        GroupCaller {
            index,
            options: options.clone(),
            directory,
            rng,
            senders,
            calls: 0,
        }
    }

    /// Sends calls until `until` and returns their records.
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
            .senders
            .iter_mut()
            .enumerate()
            .map(|(number, sender)| async move {
                let mut record = payment.record(&format!("{}-way{number}", payment.call()));
                let mut context = CallContext {
                    client: &mut sender.client,
                    directory,
                    rng: &mut sender.rng,
                    pinned: Some(&sender.node),
                };
                let request = |id: &str| payment.request(id);
                send_call(&mut context, &mut record, request, &payment.expected()).await;
                record
            });
        let records = join_all(sends).await;
        combine(&payment.record(payment.call()), records)
    }
}

/// Combines the records of all nodes into one record of what the caller finally knows about the payment.
///
/// The record with the highest precedence decides. That one node did not run the payment says nothing about the other
/// nodes, so `not_run_at` gets one time, and only if no node has an outcome of higher precedence.
fn combine(initial: &CallRecord, records: Vec<CallRecord>) -> CallRecord {
    let mut combined = initial.clone();
    if let Some(decisive) = records
        .into_iter()
        .max_by_key(|record| (precedence(&record.outcome), record.ended))
    {
        combined.node = decisive.node;
        combined.started = decisive.started;
        combined.first_byte = decisive.first_byte;
        combined.ended = decisive.ended;
        combined.outcome = decisive.outcome;
        if matches!(combined.outcome, CallOutcome::NotRun { .. }) {
            combined.not_run_at.push(combined.ended);
        }
    }
    combined
}

/// Returns the precedence of an outcome: faults first, then an answer, then unknown outcomes. The payment counts as not
/// run only if that is the outcome at all nodes.
fn precedence(outcome: &CallOutcome) -> u8 {
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
