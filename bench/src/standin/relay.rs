//! A TCP relay between two sides, as a simple proxy or balancer is one, which copies bytes and knows no protocol. What it does
//! where its two connections can't stand for one is set by [`Habits`].

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncRead;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWrite;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
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
    /// Whether bytes are held in both directions, and new connections are accepted only by the system.
    pub is_silent: bool,
}

impl Habits {
    fn blocks(&self, direction: Direction) -> bool {
        self.is_silent || self.blocked == Some(direction)
    }
}

/// A relay for connections to one target.
#[derive(Debug)]
pub struct Relay {
    address: SocketAddr,
    habits: Arc<Mutex<Habits>>,
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
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let habits = Arc::new(Mutex::new(habits));
        let task = tokio::spawn(accept(listener, target, Arc::clone(&habits)));
        Ok(Self {
            address,
            habits,
            task,
        })
    }

    /// Returns the address at which the target is reached through the relay.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets what the relay does from now on.
    pub fn set_habits(&self, habits: Habits) {
        *lock(&self.habits) = habits;
    }

    /// Stops listening. Open connections end with one of their sides.
    pub fn close(self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, target: SocketAddr, habits: Arc<Mutex<Habits>>) {
    loop {
        if lock(&habits).is_silent {
            tokio::time::sleep(CHECK_INTERVAL).await;
            continue;
        }
        // An accept error concerns a single connection or is temporary.
        let Ok((client, _)) = listener.accept().await else {
            continue;
        };
        let habits = Arc::clone(&habits);
        tokio::spawn(async move {
            // An error here concerns only the two sides, which see it.
            let _ = match TcpStream::connect(target).await {
                Ok(server) => relay(client, server, &habits).await,
                Err(_) => receive_in_vain(client, &habits).await,
            };
        });
    }
}

/// Treats a connection whose target can't be reached.
async fn receive_in_vain(mut client: TcpStream, habits: &Mutex<Habits>) -> io::Result<()> {
    let on_absent = lock(habits).on_absent;
    match on_absent {
        OnAbsent::Reset => client.set_zero_linger(),
        OnAbsent::Close => close(&mut client).await,
        OnAbsent::Wait => loop {
            let mut buf = [0; BUF_BYTES];
            if client.read(&mut buf).await? == 0 {
                return Ok(());
            }
        },
        OnAbsent::Answer(status) => {
            let mut request = Vec::new();
            while !request.windows(HEAD_END.len()).any(|end| end == HEAD_END) {
                if client.read_buf(&mut request).await? == 0 {
                    return Ok(());
                }
            }
            let answer = format!(
                "HTTP/1.1 {status} Unavailable\r\ncontent-length: 0\r\nconnection: close\r\n\r\n"
            );
            client.write_all(answer.as_bytes()).await?;
            close(&mut client).await
        }
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
    mut client: TcpStream,
    mut server: TcpStream,
    habits: &Mutex<Habits>,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let copied = {
        let (from_client, to_client) = client.split();
        let (from_server, to_server) = server.split();
        tokio::try_join!(
            copy(from_client, to_server, Direction::Forward, habits),
            copy(from_server, to_client, Direction::Back, habits),
        )
    };
    if copied.is_ok() {
        return Ok(());
    }
    let on_reset = lock(habits).on_reset;
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
    direction: Direction,
    habits: &Mutex<Habits>,
) -> io::Result<()> {
    let mut buf = vec![0; BUF_BYTES];
    loop {
        let count = from.read(&mut buf).await?;
        let delay = lock(habits).delay;
        tokio::time::sleep(delay).await;
        while lock(habits).blocks(direction) {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        if count == 0 {
            return to.shutdown().await;
        }
        to.write_all(&buf[..count]).await?;
    }
}
