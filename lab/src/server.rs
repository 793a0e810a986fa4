//! What a simulated server has to offer to the world.

use crate::job::Job;
use crate::job::Millis;

/// A request that reaches a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// The request.
    pub job: Job,
    /// Time after which it can start; later than its arrival where parts of its prompt are copied first.
    pub ready: Millis,
    /// Shared tokens that come with the copy and need not be read.
    pub copied: u32,
}

/// What a server tells when it has worked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sign {
    /// The first event of a stream, or the whole answer of a plain call.
    First(usize, Millis),
    /// A further event of a stream.
    Event(usize, Millis),
    /// The end of an answer.
    End(usize, Millis),
}

/// Work that a server did, for comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Toll {
    /// Prompt tokens that were read.
    pub read: u64,
    /// Shared tokens among them that some server held already.
    pub read_shared: u64,
    /// Requests that had to leave the memory and were read again.
    pub preempted: u64,
}

/// A model of a backend server.
pub trait Server {
    /// Takes a request, or gives it back where the queue is full.
    fn offer(&mut self, now: Millis, arrival: Arrival) -> Result<(), Job>;

    /// Gives the time of its next step, or nothing while it has no work.
    fn next_step(&self) -> Option<Millis>;

    /// Works up to its next step and tells what came of it.
    fn step(&mut self, signs: &mut Vec<Sign>);

    /// Gives the requests that run and wait.
    fn load(&self) -> u32;

    /// Loses everything; gives the numbers of the requests that were there.
    fn crash(&mut self) -> Vec<usize>;

    /// Tells how many leading tokens of the shared parts it holds.
    fn held(&self, job: &Job) -> u32;

    /// Gives what it did so far.
    fn toll(&self) -> Toll;
}
