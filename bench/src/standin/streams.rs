//! The answers that an engine is making or keeps for a while, each readable from any byte on.

use bytes::Bytes;
use futures_util::stream;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;
use tokio::sync::watch;
use tokio::task::AbortHandle;

use crate::http;
use crate::http::Abort;
use crate::http::ResponseBody;
use crate::truth::lock;

/// How long an answer is kept, or made, without a reader.
const KEPT_FOR: Duration = Duration::from_secs(10);

/// How far an answer is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It is being made.
    Open,
    /// It is whole.
    Done,
    /// It was cancelled.
    Cancelled,
}

#[derive(Clone, Copy, Debug)]
struct Progress {
    len: usize,
    state: State,
}

/// One answer, as the bytes of its body.
#[derive(Debug)]
pub struct ResponseStream {
    id: String,
    body: Mutex<Vec<u8>>,
    progress: watch::Sender<Progress>,
    readers: Mutex<Readers>,
    task: Mutex<Option<AbortHandle>>,
}

#[derive(Debug)]
struct Readers {
    count: u32,
    /// When the last reader went, or the answer was ended.
    idle_since: Instant,
}

impl ResponseStream {
    /// An answer without bytes.
    pub fn new(id: &str) -> Arc<ResponseStream> {
        let open = Progress {
            len: 0,
            state: State::Open,
        };
        Arc::new(ResponseStream {
            id: id.to_owned(),
            body: Mutex::new(Vec::new()),
            progress: watch::channel(open).0,
            readers: Mutex::new(Readers {
                count: 0,
                idle_since: Instant::now(),
            }),
            task: Mutex::new(None),
        })
    }

    /// Notes the task that makes the answer, so that cancelling ends it.
    pub fn set_task(&self, task: AbortHandle) {
        *lock(&self.task) = Some(task);
    }

    /// Adds bytes to the body.
    pub fn push(&self, bytes: &[u8]) {
        let len = {
            let mut body = lock(&self.body);
            body.extend_from_slice(bytes);
            body.len()
        };
        self.progress.send_modify(|progress| progress.len = len);
    }

    /// Ends the body; the first end counts.
    pub fn end(&self, state: State) {
        lock(&self.readers).idle_since = Instant::now();
        self.progress.send_if_modified(|progress| {
            let open = progress.state == State::Open;
            if open {
                progress.state = state;
            }
            open
        });
    }

    /// How far it is.
    pub fn state(&self) -> State {
        self.progress.borrow().state
    }

    /// Ends the task that makes the answer; its readers' connections are aborted.
    pub fn cancel(&self) {
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
        self.end(State::Cancelled);
    }

    /// Waits for the whole body.
    ///
    /// # Errors
    ///
    /// Where the answer is cancelled.
    pub async fn whole(&self) -> Result<Bytes, Abort> {
        let mut rx = self.progress.subscribe();
        let ended = rx.wait_for(|progress| progress.state != State::Open).await;
        match ended.map(|progress| progress.state) {
            Ok(State::Done) => Ok(Bytes::from(lock(&self.body).clone())),
            _ => Err(Abort),
        }
    }

    /// Counts a reader until the value is dropped, so that the answer goes on being made.
    pub fn attach(self: &Arc<Self>) -> Attached {
        lock(&self.readers).count += 1;
        Attached(self.clone())
    }

    /// The body from a byte on, as it is made; aborted at byte `cut`, where given.
    pub fn read(self: &Arc<Self>, from: usize, cut: Option<usize>) -> ResponseBody {
        let reader = Reader::new(self, from, cut.unwrap_or(usize::MAX));
        http::streamed(stream::unfold(Some(reader), |reader| async move {
            let mut reader = reader?;
            match reader.next().await {
                Ok(Some(bytes)) => Some((Ok(bytes), Some(reader))),
                Ok(None) => None,
                Err(abort) => Some((Err(abort), None)),
            }
        }))
    }

    fn idle_for(&self) -> Duration {
        let readers = lock(&self.readers);
        if readers.count > 0 {
            return Duration::ZERO;
        }
        readers.idle_since.elapsed()
    }
}

/// A reader of an answer, counted as long as it is there.
#[derive(Debug)]
pub struct Attached(Arc<ResponseStream>);

impl Drop for Attached {
    fn drop(&mut self) {
        let mut readers = lock(&self.0.readers);
        readers.count -= 1;
        readers.idle_since = Instant::now();
    }
}

/// The place of one reader in an answer.
struct Reader {
    response: Attached,
    rx: watch::Receiver<Progress>,
    pos: usize,
    cut: usize,
}

impl Reader {
    fn new(response: &Arc<ResponseStream>, pos: usize, cut: usize) -> Reader {
        Reader {
            rx: response.progress.subscribe(),
            response: response.attach(),
            pos,
            cut,
        }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Abort> {
        loop {
            let progress = *self.rx.borrow_and_update();
            if self.pos >= self.cut {
                return Err(Abort);
            }
            if progress.len > self.pos {
                let end = progress.len.min(self.cut);
                let bytes = Bytes::copy_from_slice(&lock(&self.response.0.body)[self.pos..end]);
                self.pos = end;
                return Ok(Some(bytes));
            }
            match progress.state {
                State::Done => return Ok(None),
                State::Cancelled => return Err(Abort),
                State::Open => {}
            }
            self.rx.changed().await.map_err(|_| Abort)?;
        }
    }
}

/// All answers of one engine, the oldest first.
#[derive(Debug, Default)]
pub struct Streams(Mutex<Vec<Arc<ResponseStream>>>);

impl Streams {
    /// Adds an answer.
    pub fn add(&self, response: Arc<ResponseStream>) {
        lock(&self.0).push(response);
    }

    /// The newest answer to a request.
    pub fn find(&self, id: &str) -> Option<Arc<ResponseStream>> {
        let all = lock(&self.0);
        all.iter().rfind(|response| response.id == id).cloned()
    }

    /// Cancels and forgets the answers that nobody read for a while.
    pub fn sweep(&self) {
        lock(&self.0).retain(|response| {
            let keep = response.idle_for() < KEPT_FOR;
            if !keep {
                response.cancel();
            }
            keep
        });
    }

    /// Cancels all answers.
    pub fn cancel_all(&self) {
        for response in lock(&self.0).drain(..) {
            response.cancel();
        }
    }
}
