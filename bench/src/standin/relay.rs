//! A TCP relay between two sides, as a simple proxy or balancer is one, which copies bytes and knows no protocol. What it does
//! where its two connections can't stand for one is set by [`Habits`].

use rand::RngExt;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::truth::lock;

const BUF_BYTES: usize = 16 * 1024;
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Time for which a relay reads what a side still sends before it closes that connection.
const LINGER_TIME: Duration = Duration::from_millis(200);
/// Interval at which a relay notices that its habits have changed.
const CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// How a connection ends when the other one was reset or has failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OnReset {
    /// It is reset too.
    #[default]
    Reset,
    /// It is closed in an orderly way.
    Close,
}

/// What becomes of a connection that was accepted for a target that can't be reached.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum OnAbsent {
    /// It is reset at once.
    #[default]
    Reset,
    /// It is closed at once in an orderly way.
    Close,
    /// It stays open, and nothing is sent on it.
    Wait,
    /// Each request on it is answered with this status.
    Answer(u16),
}

/// What becomes of a new connection.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Gate {
    /// It is passed on to the target.
    #[default]
    Open,
    /// It is reset at once.
    Reset,
    /// Each request on it is answered with this status.
    Answer(u16),
}

/// A direction of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Direction {
    /// From the side that connected to the target.
    Forward,
    /// From the target.
    Back,
}

/// What a relay does with its connections, also with open ones.
#[derive(Clone, Copy, Debug, Default)]
pub struct Habits {
    /// How a connection ends when the other one was reset.
    pub on_reset: OnReset,
    /// What becomes of a connection for a target that can't be reached.
    pub on_absent: OnAbsent,
    /// Time by which all bytes are delayed.
    pub delay: Duration,
    /// Direction in which no bytes pass. They are held until this is unset.
    pub blocked: Option<Direction>,
    /// Whether bytes are held in both directions, and new connections are passed on only when this is unset.
    pub is_silent: bool,
    /// What becomes of new connections.
    pub gate: Gate,
    /// Number, in two bytes, that is sent to the side that connected as soon as the target has accepted.
    pub greeting: Option<u16>,
}

impl Habits {
    fn blocks(&self, direction: Direction) -> bool {
        self.is_silent || self.blocked == Some(direction)
    }
}

/// Changes the bytes of one direction of a connection.
pub trait Rewriter: Send {
    /// Takes the next bytes and returns those to send on; the rest is kept until more bytes come.
    fn rewrite(&mut self, bytes: &[u8]) -> Vec<u8>;
}

/// Returns what changes the bytes of a new connection in a direction.
pub type Rewriters = Arc<dyn Fn(Direction) -> Box<dyn Rewriter> + Send + Sync>;

/// Where a relay passes its connections on to, and how.
struct Passage {
    target: SocketAddr,
    /// `None` if bytes are passed on as they are.
    rewriters: Option<Rewriters>,
}

impl Passage {
    /// Connects to the target for a side that connected from `source`.
    async fn connect(&self, source: IpAddr) -> io::Result<TcpStream> {
        if self.rewriters.is_none() {
            return TcpStream::connect(self.target).await;
        }
        let socket = match source {
            IpAddr::V4(_) => TcpSocket::new_v4()?,
            IpAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.bind(SocketAddr::new(source, 0))?;
        socket.connect(self.target).await
    }

    fn rewriter(&self, direction: Direction) -> Option<Box<dyn Rewriter>> {
        let rewriters = self.rewriters.as_ref();
        rewriters.map(|rewriters| rewriters(direction))
    }
}

/// What holds for all connections.
#[derive(Debug)]
struct Shared {
    habits: Mutex<Habits>,
    /// Shares of the open connections to reset.
    resets: watch::Sender<f64>,
}

/// A connection's view of them.
#[derive(Clone, Debug)]
struct Towards {
    shared: Arc<Shared>,
    source: IpAddr,
}

impl Towards {
    fn habits(&self) -> Habits {
        *lock(&self.shared.habits)
    }

    async fn wait_while(&self, is_held: impl Fn(Habits) -> bool) {
        while is_held(self.habits()) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
    }

    /// Waits until the connection is to be reset.
    async fn wait_for_reset(&self) {
        let mut resets = self.shared.resets.subscribe();
        while resets.changed().await.is_ok() {
            let share = *resets.borrow_and_update();
            if rand::rng().random_bool(share.clamp(0.0, 1.0)) {
                return;
            }
        }
        std::future::pending::<()>().await;
    }
}

/// A relay for connections to one target.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

impl Relay {
    /// Starts a relay at `address` for connections to `target`, which need not listen yet.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn start(
        address: SocketAddr,
        target: SocketAddr,
        habits: Habits,
    ) -> io::Result<Self> {
        let passage = Passage {
            target,
            rewriters: None,
        };
        Self::start_passage(address, passage, habits).await
    }

    /// Starts a relay that changes the bytes of its connections. It connects to `target` from the address that it was connected
    /// from, by which targets know who asks.
    ///
    /// # Errors
    ///
    /// As [`Relay::start`].
    pub async fn start_rewriting(
        address: SocketAddr,
        target: SocketAddr,
        habits: Habits,
        rewriters: Rewriters,
    ) -> io::Result<Self> {
        let passage = Passage {
            target,
            rewriters: Some(rewriters),
        };
        Self::start_passage(address, passage, habits).await
    }

    async fn start_passage(
        address: SocketAddr,
        passage: Passage,
        habits: Habits,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            habits: Mutex::new(habits),
            resets: watch::Sender::default(),
        });
        let task = tokio::spawn(accept(listener, Arc::new(passage), Arc::clone(&shared)));
        Ok(Self {
            address,
            shared,
            task,
        })
    }

    /// Returns the address at which the target is reached through the relay.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the relay does from now on.
    pub fn set_habits(&self, habits: Habits) {
        *lock(&self.shared.habits) = habits;
    }

    /// Resets this share of the open connections, drawn one by one.
    pub fn reset(&self, share: f64) {
        self.shared.resets.send_replace(share);
    }

    /// Stops listening. Open connections end with one of their sides.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, passage: Arc<Passage>, shared: Arc<Shared>) {
    loop {
        // An accept error concerns a single connection or is temporary.
        let Ok((client, peer)) = listener.accept().await else {
            continue;
        };
        let towards = Towards {
            shared: Arc::clone(&shared),
            source: peer.ip(),
        };
        let passage = Arc::clone(&passage);
        tokio::spawn(async move {
            // An error here concerns only the two sides, which see it.
            let _ = pass(client, &passage, &towards).await;
        });
    }
}

/// Passes a new connection on as the habits say.
async fn pass(mut client: TcpStream, passage: &Passage, towards: &Towards) -> io::Result<()> {
    towards.wait_while(|habits| habits.is_silent).await;
    match towards.habits().gate {
        Gate::Open => {}
        Gate::Reset => return client.set_zero_linger(),
        Gate::Answer(status) => return answer(&mut client, status).await,
    }
    match passage.connect(towards.source).await {
        Ok(server) => {
            if let Some(number) = towards.habits().greeting {
                client.write_u16(number).await?;
            }
            relay((client, server), passage, towards).await
        }
        Err(_) => receive_in_vain(client, towards).await,
    }
}

/// Answers the first request on a connection with `status` and closes it.
async fn answer(client: &mut TcpStream, status: u16) -> io::Result<()> {
    let mut request = Vec::new();
    while !request.windows(HEAD_END.len()).any(|end| end == HEAD_END) {
        if client.read_buf(&mut request).await? == 0 {
            return Ok(());
        }
    }
    let answer =
        format!("HTTP/1.1 {status} Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n");
    client.write_all(answer.as_bytes()).await?;
    close(client).await
}

/// Treats a connection whose target can't be reached.
async fn receive_in_vain(mut client: TcpStream, towards: &Towards) -> io::Result<()> {
    let on_absent = towards.habits().on_absent;
    match on_absent {
        OnAbsent::Reset => client.set_zero_linger(),
        OnAbsent::Close => close(&mut client).await,
        OnAbsent::Wait => loop {
            let mut buf = [0; BUF_BYTES];
            if client.read(&mut buf).await? == 0 {
                return Ok(());
            }
        },
        OnAbsent::Answer(status) => answer(&mut client, status).await,
    }
}

/// Closes a connection so that what was written on it arrives, though its side may still send.
async fn close(stream: &mut TcpStream) -> io::Result<()> {
    stream.shutdown().await?;
    let mut buf = [0; BUF_BYTES];
    let reading = async { while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {} };
    // After this time the rest is lost.
    let _ = tokio::time::timeout(LINGER_TIME, reading).await;
    Ok(())
}

/// Copies bytes in both directions until both have ended or one fails.
async fn relay(
    (mut client, mut server): (TcpStream, TcpStream),
    passage: &Passage,
    towards: &Towards,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let copied = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        tokio::select! {
            () = towards.wait_for_reset() => Err(io::ErrorKind::ConnectionReset.into()),
            copied = async { tokio::try_join!(
                copy(from_client, to_server, (Direction::Forward, passage), towards),
                copy(from_server, to_client, (Direction::Back, passage), towards),
            ) } => copied,
        }
    };
    if copied.is_ok() {
        return Ok(());
    }
    let on_reset = towards.habits().on_reset;
    match on_reset {
        OnReset::Reset => {
            client.set_zero_linger()?;
            server.set_zero_linger()
        }
        OnReset::Close => {
            let (client, server) = tokio::join!(close(&mut client), close(&mut server));
            client.and(server)
        }
    }
}

/// Copies bytes in `direction` until its sender ends it, and ends it for the receiver.
async fn copy(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    (direction, passage): (Direction, &Passage),
    towards: &Towards,
) -> io::Result<()> {
    let mut rewriter = passage.rewriter(direction);
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        let delay = towards.habits().delay;
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        towards.wait_while(|habits| habits.blocks(direction)).await;
        if count == 0 {
            return to.shutdown().await;
        }
        match &mut rewriter {
            Some(rewriter) => to.write_all(&rewriter.rewrite(&buf[..count])).await?,
            None => to.write_all(&buf[..count]).await?,
        }
    }
}
