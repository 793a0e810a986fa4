//! A TCP link to a backend server that spoils the answers which pass it, while the server runs on.

use rand::RngExt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

use crate::truth::lock;

const BUF_BYTES: usize = 16 * 1024;
/// Time after which the bytes before a reset have arrived.
const RESET_DELAY: Duration = Duration::from_millis(20);
/// Number of bytes of a body without length that pass before it is cut.
const FIRST_BYTES: usize = 4;
const HEAD_END: &[u8] = b"\r\n\r\n";
const EVENT_END: &[u8] = b"\n\n";
const OTHER_BYTES: &[u8] = b"\x16\x03\x01 this is no answer\r\n\r\n";
const EXTRA_BYTES: &[u8] = b"id: 3\ndata: token 3 v1\n\n";
const EARLY_ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncurrantbend-request-id: another\r\n\
    currantbend-response-seal: s.1\r\ncontent-length: 15\r\n\r\nrun by somebody";

/// What is wrong with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerFault {
    /// It ends after this number of bytes of its head.
    WithinHead(usize),
    /// Its head has no length and no transfer coding, and it ends after this number of bytes of its body, or with the head if
    /// the body is in chunks.
    WithoutLength(usize),
    /// Its head has no length and no transfer coding, and it ends after the first event of a stream in chunks of whole events.
    FirstEventWithoutLength,
    /// It ends after this number of events of a stream.
    AfterEvents(usize),
    /// It ends within the event that follows this number of events of a stream.
    WithinEvent(usize),
    /// It ends after half of its body, or after its first bytes if it has no length.
    WithinBody,
    /// It is written once more after its end.
    Repeated,
    /// It is written once more where the answer to the next request on the connection is expected.
    RepeatedLate,
    /// Bytes that are no answer come in its place.
    OtherBytes,
    /// Bytes that are no answer come after its end.
    ExtraBytes,
    /// An answer to another request comes before it.
    Early,
}

/// How a connection ends after an answer that was cut.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ending {
    /// It is closed in an orderly way.
    Close,
    /// It is reset.
    Reset,
}

/// A part of an answer that no reader can tell from a whole one: it has neither a length nor chunks, and its connection was
/// closed in an orderly way.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct UnframedPart {
    /// ID of its request.
    pub request_id: String,
    /// The body as far as it was passed on.
    pub body: Vec<u8>,
}

/// The link of one server.
#[derive(Debug)]
pub struct AnswerLink {
    address: SocketAddr,
    state: Arc<LinkState>,
    task: JoinHandle<()>,
}

#[derive(Debug, Default)]
struct LinkState {
    fault: Mutex<Option<(AnswerFault, Ending)>>,
    /// Share of the answers that have the fault; all if it isn't set.
    share: Mutex<Option<f64>>,
    unframed_parts: Mutex<Vec<UnframedPart>>,
}

impl AnswerLink {
    /// Starts a link to the server at `target`.
    ///
    /// # Errors
    ///
    /// Returns an error if no address can be bound.
    pub async fn start(target: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind((target.ip(), 0)).await?;
        let address = listener.local_addr()?;
        let state = Arc::<LinkState>::default();
        let task = tokio::spawn(accept(listener, target, Arc::clone(&state)));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Returns the address at which the server is reached through the link.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what is wrong with answers to requests that pass from now on, and how their connections end, or lets them be.
    pub fn set_fault(&self, fault: Option<(AnswerFault, Ending)>) {
        *lock(&self.state.fault) = fault;
    }

    /// Sets the share of the answers, drawn one by one, that have the fault.
    pub fn set_share(&self, share: f64) {
        *lock(&self.state.share) = Some(share.clamp(0.0, 1.0));
    }

    /// Returns the parts of answers that it passed on so that they look whole.
    pub fn unframed_parts(&self) -> Vec<UnframedPart> {
        lock(&self.state.unframed_parts).clone()
    }

    /// Stops listening. Open connections end with the server or the client.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, state: Arc<LinkState>) {
    loop {
        // An accept error concerns a single connection or is temporary.
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let state = Arc::clone(&state);
        tokio::spawn(async move {
            // An error here concerns only the two sides, which see it.
            let _ = pass(client, target, &state).await;
        });
    }
}

/// Passes the bytes of one connection on until either side ends it.
async fn pass(mut client: TcpStream, target: SocketAddr, state: &LinkState) -> io::Result<()> {
    let Ok(mut server) = TcpStream::connect(target).await else {
        return client.set_zero_linger();
    };
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (mut from_client, mut from_server) = (vec![0; BUF_BYTES], vec![0; BUF_BYTES]);
    let mut answer = Answer::default();
    loop {
        tokio::select! {
            read = client.read(&mut from_client) => match read {
                Ok(count) if count > 0 => {
                    if answer.is_repeated_late() {
                        client.write_all(&answer.bytes).await?;
                    }
                    if answer.has_begun() {
                        answer = Answer::default();
                    }
                    server.write_all(&from_client[..count]).await?;
                }
                _ => return Ok(()),
            },
            read = server.read(&mut from_server) => match read {
                Ok(0) => return Ok(()),
                Ok(count) => {
                    if !answer.has_begun() {
                        let share = lock(&state.share).unwrap_or(1.0);
                        let fault = *lock(&state.fault);
                        answer.fault = fault.filter(|_| rand::rng().random_bool(share));
                    }
                    answer.bytes.extend_from_slice(&from_server[..count]);
                    let (bytes, ending) = answer.next_bytes();
                    client.write_all(&bytes).await?;
                    match ending {
                        None => {}
                        Some(Ending::Close) => {
                            lock(&state.unframed_parts).extend(answer.unframed_part());
                            return Ok(());
                        }
                        Some(Ending::Reset) => {
                            tokio::time::sleep(RESET_DELAY).await;
                            return client.set_zero_linger();
                        }
                    }
                }
                Err(_) => return client.set_zero_linger(),
            },
        }
    }
}

/// The answer that passes a connection.
#[derive(Debug, Default)]
struct Answer {
    fault: Option<(AnswerFault, Ending)>,
    /// What the server has written.
    bytes: Vec<u8>,
    /// What was passed on.
    sent: Vec<u8>,
    /// Number of bytes that were passed on.
    passed: usize,
}

impl Answer {
    fn has_begun(&self) -> bool {
        !self.bytes.is_empty()
    }

    fn is_repeated_late(&self) -> bool {
        matches!(self.fault, Some((AnswerFault::RepeatedLate, _))) && self.is_whole()
    }

    /// Returns the bytes that are passed on now, and how the connection ends after them, if it does.
    fn next_bytes(&mut self) -> (Vec<u8>, Option<Ending>) {
        let before: &[u8] = match self.fault {
            Some((AnswerFault::OtherBytes, ending)) => {
                return (OTHER_BYTES.to_vec(), Some(ending));
            }
            Some((AnswerFault::Early, _)) if self.passed == 0 => EARLY_ANSWER,
            _ => &[],
        };
        let (bytes, is_cut) = match self.fault.map(|(fault, _)| fault) {
            Some(AnswerFault::WithoutLength(count)) => match self.without_length(count) {
                Some(bytes) => (bytes, true),
                // Nothing of it passes before it is known where it ends.
                None => return (Vec::new(), None),
            },
            Some(AnswerFault::FirstEventWithoutLength) => match self.first_event() {
                Some(bytes) => (bytes, true),
                None => return (Vec::new(), None),
            },
            Some(fault) => match self.cut_at(fault) {
                Some(end) => (self.bytes[..end].to_vec(), true),
                None => (self.bytes.clone(), false),
            },
            None => (self.bytes.clone(), false),
        };
        let mut next = [before, bytes.get(self.passed..).unwrap_or_default()].concat();
        self.passed = bytes.len().max(self.passed);
        let after: Option<&[u8]> = match self.fault {
            Some((AnswerFault::Repeated, _)) => Some(&bytes),
            Some((AnswerFault::ExtraBytes, _)) => Some(EXTRA_BYTES),
            _ => None,
        };
        if let Some(after) = after
            && self.is_whole()
        {
            next.extend_from_slice(after);
            self.fault = None;
        }
        self.sent.extend_from_slice(&next);
        let ending = self.fault.map(|(_, ending)| ending);
        (next, ending.filter(|_| is_cut))
    }

    /// Returns the number of bytes after which `fault` cuts the answer, as soon as they are there.
    fn cut_at(&self, fault: AnswerFault) -> Option<usize> {
        let head = self.head_bytes();
        let body = head.map_or(&[][..], |head| &self.bytes[head..]);
        let end = match fault {
            AnswerFault::WithinHead(count) => match head {
                Some(head) => count.min(head - 1),
                None => count,
            },
            AnswerFault::AfterEvents(0) => head?,
            AnswerFault::AfterEvents(count) => head? + end_of_event(body, count)?,
            AnswerFault::WithinEvent(count) => {
                let border = match count {
                    0 => 0,
                    count => end_of_event(body, count)?,
                };
                let event = body[border..]
                    .windows(3)
                    .position(|bytes| bytes == b"id:")?;
                head? + border + event + 3
            }
            AnswerFault::WithinBody => {
                let half = self.length().map(|length| length.div_ceil(2));
                head? + half.unwrap_or(FIRST_BYTES)
            }
            _ => return None,
        };
        (self.bytes.len() >= end).then_some(end)
    }

    /// Returns the head without length and transfer coding, and `count` bytes of a body that has a length.
    fn without_length(&self, count: usize) -> Option<Vec<u8>> {
        let head = self.head_bytes()?;
        let is_framing = |line: &&[u8]| {
            let line = line.to_ascii_lowercase();
            line.starts_with(b"content-length:") || line.starts_with(b"transfer-encoding:")
        };
        let lines = self.bytes[..head].split_inclusive(|byte| *byte == b'\n');
        let mut bytes = lines
            .filter(|line| !is_framing(line))
            .collect::<Vec<_>>()
            .concat();
        if let Some(length) = self.length() {
            let count = count.min(length);
            bytes.extend_from_slice(self.bytes.get(head..head + count)?);
        }
        Some(bytes)
    }

    /// Returns the head without transfer coding, and the first event.
    fn first_event(&self) -> Option<Vec<u8>> {
        let mut bytes = self.without_length(0)?;
        let body = &self.bytes[self.head_bytes()?..];
        let end = end_of_event(body, 1)?;
        let start = body.windows(3).position(|bytes| bytes == b"id:")?;
        bytes.extend_from_slice(&body[start..end]);
        Some(bytes)
    }

    /// Returns what was passed on, if its head is whole and names neither a length nor a transfer coding.
    fn unframed_part(&self) -> Option<UnframedPart> {
        let head = end_of_head(&self.sent)?;
        let text = String::from_utf8_lossy(&self.sent[..head]).to_lowercase();
        let is_framing = |line: &str| {
            line.starts_with("content-length:") || line.starts_with("transfer-encoding:")
        };
        if text.lines().any(is_framing) {
            return None;
        }
        let mut lines = text.lines();
        let id = lines.find_map(|line| line.strip_prefix("currantbend-request-id:"))?;
        Some(UnframedPart {
            request_id: id.trim().to_owned(),
            body: self.sent[head..].to_vec(),
        })
    }

    /// Returns the number of bytes of the head, once it is whole.
    fn head_bytes(&self) -> Option<usize> {
        end_of_head(&self.bytes)
    }

    /// Returns the length that the head names.
    fn length(&self) -> Option<usize> {
        let head = String::from_utf8_lossy(&self.bytes[..self.head_bytes()?]).to_lowercase();
        let mut lines = head.lines();
        let length = lines.find_map(|line| line.strip_prefix("content-length:"))?;
        length.trim().parse().ok()
    }

    /// Returns whether an answer with a length or in chunks is there to its end.
    fn is_whole(&self) -> bool {
        match (self.head_bytes(), self.length()) {
            (Some(head), Some(length)) => self.bytes.len() >= head + length,
            (Some(_), None) => self.bytes.ends_with(b"\r\n0\r\n\r\n"),
            (None, _) => false,
        }
    }
}

/// Returns the number of bytes of the head that `bytes` begin with, once it is whole.
fn end_of_head(bytes: &[u8]) -> Option<usize> {
    let mut windows = bytes.windows(HEAD_END.len());
    let end = windows.position(|bytes| bytes == HEAD_END);
    end.map(|end| end + HEAD_END.len())
}

/// Returns the number of bytes of the first `count` events of `body`, once they are there.
fn end_of_event(body: &[u8], count: usize) -> Option<usize> {
    let pairs = body.windows(EVENT_END.len()).enumerate();
    let mut ends = pairs.filter(|(_, bytes)| *bytes == EVENT_END);
    ends.nth(count - 1)
        .map(|(index, _)| index + EVENT_END.len())
}
