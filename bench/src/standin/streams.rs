//! The responses that an engine is generating or retains for a while; each can be read from any byte offset.

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

/// How long a response without a reader is retained, or generated further.
const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

/// State of a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ResponseState {
    /// It is being generated.
    Open,
    /// It is complete.
    Done,
    /// It was cancelled.
    Cancelled,
}

#[derive(Clone, Copy, Debug)]
struct Progress {
    len: usize,
    state: ResponseState,
}

/// The body of one response, whose generation is independent of its readers.
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
    /// When the last reader was dropped or the response ended, whichever is later.
    idle_since: Instant,
}

impl ResponseStream {
    /// Creates an empty open response.
    pub fn new(id: &str) -> Arc<ResponseStream> {
        let open = Progress {
            len: 0,
            state: ResponseState::Open,
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

    /// Sets the task that generates the response, which [`ResponseStream::cancel`] aborts.
    pub fn set_task(&self, task: AbortHandle) {
        *lock(&self.task) = Some(task);
    }

    /// Appends bytes to the body.
    pub fn push(&self, bytes: &[u8]) {
        let len = {
            let mut body = lock(&self.body);
            body.extend_from_slice(bytes);
            body.len()
        };
        self.progress.send_modify(|progress| progress.len = len);
    }

    /// Ends the response with `state`; has no effect on the state of a response that has ended.
    pub fn end(&self, state: ResponseState) {
        lock(&self.readers).idle_since = Instant::now();
        self.progress.send_if_modified(|progress| {
            let open = progress.state == ResponseState::Open;
            if open {
                progress.state = state;
            }
            open
        });
    }

    /// Returns the state.
    pub fn state(&self) -> ResponseState {
        self.progress.borrow().state
    }

    /// Aborts the task that generates the response, and the connections of the readers.
    pub fn cancel(&self) {
        if let Some(task) = lock(&self.task).take() {
            task.abort();
        }
        self.end(ResponseState::Cancelled);
    }

    /// Waits until the response is complete and returns the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is cancelled.
    pub async fn wait_complete(&self) -> Result<Bytes, Abort> {
        let mut rx = self.progress.subscribe();
        let ended = rx
            .wait_for(|progress| progress.state != ResponseState::Open)
            .await;
        match ended.map(|progress| progress.state) {
            Ok(ResponseState::Done) => Ok(Bytes::from(lock(&self.body).clone())),
            _ => Err(Abort),
        }
    }

    /// Registers a reader until the guard is dropped; a response with a reader is not removed as idle.
    pub fn add_reader(self: &Arc<Self>) -> ReaderGuard {
        lock(&self.readers).count += 1;
        ReaderGuard(self.clone())
    }

    /// Returns the body from byte `from` on, as it is generated; the connection is aborted at byte `abort_at` if given.
    pub fn read(self: &Arc<Self>, from: usize, abort_at: Option<usize>) -> ResponseBody {
        let reader = Reader::new(self, from, abort_at.unwrap_or(usize::MAX));
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

/// Counts a reader of a response until it is dropped.
#[derive(Debug)]
pub struct ReaderGuard(Arc<ResponseStream>);

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        let mut readers = lock(&self.0.readers);
        readers.count -= 1;
        readers.idle_since = Instant::now();
    }
}

/// A reader of a response and its position.
struct Reader {
    response: ReaderGuard,
    rx: watch::Receiver<Progress>,
    offset: usize,
    abort_at: usize,
}

impl Reader {
    fn new(response: &Arc<ResponseStream>, offset: usize, abort_at: usize) -> Reader {
        Reader {
            rx: response.progress.subscribe(),
            response: response.add_reader(),
            offset,
            abort_at,
        }
    }

    async fn next(&mut self) -> Result<Option<Bytes>, Abort> {
        loop {
            let progress = *self.rx.borrow_and_update();
            if self.offset >= self.abort_at {
                return Err(Abort);
            }
            if progress.len > self.offset {
                let end = progress.len.min(self.abort_at);
                let bytes = Bytes::copy_from_slice(&lock(&self.response.0.body)[self.offset..end]);
                self.offset = end;
                return Ok(Some(bytes));
            }
            match progress.state {
                ResponseState::Done => return Ok(None),
                ResponseState::Cancelled => return Err(Abort),
                ResponseState::Open => {}
            }
            self.rx.changed().await.map_err(|_| Abort)?;
        }
    }
}

/// All retained responses of one engine, the oldest first.
#[derive(Debug, Default)]
pub struct Streams(Mutex<Vec<Arc<ResponseStream>>>);

impl Streams {
    /// Adds a response.
    pub fn add(&self, response: Arc<ResponseStream>) {
        lock(&self.0).push(response);
    }

    /// Returns the newest response to the request with this ID.
    pub fn find(&self, id: &str) -> Option<Arc<ResponseStream>> {
        let all = lock(&self.0);
        all.iter().rfind(|response| response.id == id).cloned()
    }

    /// Cancels and removes the responses that have had no reader for `MAX_IDLE_TIME`.
    pub fn remove_idle(&self) {
        lock(&self.0).retain(|response| {
            let keep = response.idle_for() < MAX_IDLE_TIME;
            if !keep {
                response.cancel();
            }
            keep
        });
    }

    /// Cancels and removes all responses.
    pub fn cancel_all(&self) {
        for response in lock(&self.0).drain(..) {
            response.cancel();
        }
    }
}
