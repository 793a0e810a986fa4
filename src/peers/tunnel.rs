//! Connections from one gateway to a backend server through another one, its helper: opening them, and carrying them for
//! others. `docs/REACHING-SERVERS.md` has the protocol.

use super::directory::NodeEntry;
use super::link::Link;
use super::message::encode;
use super::node::Peers;
use super::node::Shared;
use super::tunnel_stream::TunnelStream;
use super::tunnel_table::CarriedTunnel;
use crate::catalog::BackendServer;
use crate::clock::BootInstant;
use crate::decide::HelperView;
use crate::decide::RefusalScope;
use crate::decide::helper_order;
use crate::net::Connection;
use async_trait::async_trait;
use futures_util::SinkExt;
use futures_util::StreamExt;
use futures_util::stream::SplitSink;
use futures_util::stream::SplitStream;
use serde::Deserialize;
use serde::Serialize;
use slog::info;
use std::fmt;
use std::net::IpAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::io::ReadHalf;
use tokio::io::WriteHalf;
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

/// Timeout for opening a tunnel. A helper that reaches the server opens one in a few round trips, but one that many ask at once
/// may take longer; the next helper is asked long before.
const OPEN_TIMEOUT: Duration = Duration::from_millis(600);
/// Size of the buffer for bytes from the server.
const BUFFER_BYTES: usize = 16 * 1024;

/// Opens tunnels to backend servers.
#[async_trait]
pub trait Tunnels: Send + Sync {
    /// Returns the gateways to ask for a tunnel to `server`, in this order.
    fn helpers(&self, server: &BackendServer) -> Vec<NodeEntry>;

    /// Opens a tunnel to `server` through `helper`, for the request called `request`.
    ///
    /// # Errors
    ///
    /// Returns why `helper` could not be reached or opened none. No byte has reached the server then.
    async fn open(
        &self,
        helper: &NodeEntry,
        server: &BackendServer,
        request: &str,
    ) -> Result<Box<dyn Connection>, TunnelError>;

    /// Returns the number of tunnels of this gateway through others, and of those that it carries for others.
    fn counts(&self) -> (u32, u32);
}

/// Why a helper opened no tunnel.
#[derive(Debug)]
pub enum TunnelError {
    /// It answered that it opens none.
    Refused(TunnelRefusal),
    /// It could not be reached, or did not answer in time, for this cause.
    Unreachable(String),
}

impl TunnelError {
    /// Returns the result for metrics, one of a few.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Refused(refusal) => refusal.as_str(),
            Self::Unreachable(_) => "helper unreachable",
        }
    }
}

impl fmt::Display for TunnelError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Refused(refusal) => refusal.as_str(),
            Self::Unreachable(cause) => cause,
        })
    }
}

/// Connects a helper to backend servers.
#[async_trait]
pub trait DirectPaths: Send + Sync {
    /// Opens a direct connection to `server`.
    ///
    /// # Errors
    ///
    /// Returns why the server can't be reached from here; at once if that is known.
    async fn connect_directly(&self, server: &BackendServer)
    -> Result<Box<dyn Connection>, String>;

    /// Returns whether none of `servers`, all of one service, can be reached from here.
    fn is_cut_off(&self, servers: &[BackendServer]) -> bool;

    /// Records that something arrived from `server` on a connection that [`DirectPaths::connect_directly`] opened.
    fn record_heard(&self, server: &BackendServer);
}

/// A tunnel that this gateway carries for another one.
struct Carrying {
    /// The connection to the server.
    connection: Box<dyn Connection>,
    server: BackendServer,
    paths: Arc<dyn DirectPaths>,
    count: CarriedTunnel,
}

/// Asks for a tunnel. The bytes of the connection follow in messages of their own once it is granted.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct TunnelRequest {
    /// Name of the backend server.
    tunnel_to: String,
    start_time_ms: u64,
    /// Id of the request, for the logs.
    request: String,
}

/// Says whether a tunnel is open.
#[derive(Clone, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub(super) struct TunnelResponse {
    refusal: Option<TunnelRefusal>,
}

/// Why a helper opens no tunnel.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
#[derive(Deserialize, Serialize)]
pub enum TunnelRefusal {
    /// The requester is on no list of gateways.
    Stranger,
    /// The helper doesn't know the server, or not this incarnation of it.
    UnknownServer,
    /// The helper doesn't reach the server.
    Unreachable,
    /// The helper reaches no server of the service.
    CutOff,
    /// The helper carries as many tunnels as it may.
    Busy,
    /// The helper is stopping.
    Stopping,
}

impl TunnelRefusal {
    /// Returns which servers the helper would refuse a tunnel to.
    fn scope(self) -> RefusalScope {
        match self {
            Self::Stranger | Self::Busy | Self::Stopping => RefusalScope::AllServers,
            Self::CutOff => RefusalScope::Service,
            Self::Unreachable => RefusalScope::Server,
            Self::UnknownServer => RefusalScope::UnlistedServer,
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Stranger => "not on the helper's node list",
            Self::UnknownServer => "server unknown to the helper",
            Self::Unreachable => "server unreachable for the helper",
            Self::CutOff => "helper reaches no server of the service",
            Self::Busy => "helper busy",
            Self::Stopping => "helper stopping",
        }
    }
}

impl fmt::Display for TunnelRefusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

#[async_trait]
impl Tunnels for Shared {
    fn helpers(&self, server: &BackendServer) -> Vec<NodeEntry> {
        let now = BootInstant::now();
        let (nodes, _) = self.nodes.nodes();
        let centre = &server.entry.data_centre;
        let views: Vec<HelperView<'_>> = nodes
            .iter()
            .filter(|node| self.regions.may_carry(&node.data_centre, centre))
            .map(|node| {
                let view = self.tunnel_table.view(node, server, now);
                HelperView {
                    has_refused: view.has_refused || self.nodes.is_unreachable(node),
                    ..view
                }
            })
            .collect();
        let helpers = helper_order(&self.own, &server.id, &views);
        helpers.into_iter().cloned().collect()
    }

    fn counts(&self) -> (u32, u32) {
        (self.tunnel_table.open(), self.tunnel_table.carried())
    }

    async fn open(
        &self,
        helper: &NodeEntry,
        server: &BackendServer,
        request: &str,
    ) -> Result<Box<dyn Connection>, TunnelError> {
        let open = self.tunnel_table.count_open(&helper.name);
        let opening = self.ask_for_tunnel(helper, server, request);
        let answer = match tokio::time::timeout(OPEN_TIMEOUT, opening).await {
            Ok(answer) => answer,
            Err(_) => Err(TunnelError::Unreachable(
                "helper did not answer in time".to_owned(),
            )),
        };
        match answer {
            Ok(socket) => {
                let now = BootInstant::now();
                self.tunnel_table.record_opened(&helper.name, server, now);
                Ok(Box::new(TunnelStream::new(socket, open)))
            }
            Err(err) => {
                let scope = match &err {
                    TunnelError::Refused(refusal) => refusal.scope(),
                    TunnelError::Unreachable(_) => RefusalScope::AllServers,
                };
                let now = BootInstant::now();
                self.tunnel_table
                    .record_refusal(&helper.name, server, scope, now);
                Err(err)
            }
        }
    }
}

impl Peers {
    /// Returns what opens tunnels through other gateways.
    pub fn tunnels(&self) -> Arc<dyn Tunnels> {
        Arc::clone(&self.shared) as Arc<dyn Tunnels>
    }

    /// Carries tunnels for other gateways from now on, whose connections `paths` opens.
    pub fn carry_tunnels(&self, paths: Arc<dyn DirectPaths>) {
        // Can't fail: it is set nowhere else.
        let _ = self.shared.direct_paths.set(paths);
    }

    /// Refuses new tunnels from now on; those that are open go on.
    pub fn start_draining(&self) {
        self.shared.tunnel_table.start_draining();
    }

    /// Returns whether a tunnel is carried for another gateway.
    pub fn carries_tunnels(&self) -> bool {
        self.shared.tunnel_table.carried() > 0
    }
}

impl Shared {
    async fn ask_for_tunnel(
        &self,
        helper: &NodeEntry,
        server: &BackendServer,
        request: &str,
    ) -> Result<WebSocketStream<TcpStream>, TunnelError> {
        let lost = TunnelError::Unreachable;
        let source = Some(self.own.address.ip());
        let link = Link::open_from(source, helper).await;
        let mut link = link.map_err(lost)?;
        let question = TunnelRequest {
            tunnel_to: server.id.clone(),
            start_time_ms: server.entry.start_time_ms,
            request: request.to_owned(),
        };
        let answer: TunnelResponse = link.request(&question).await.map_err(lost)?;
        match answer.refusal {
            None => Ok(link.into_socket()),
            Some(refusal) => Err(TunnelError::Refused(refusal)),
        }
    }

    /// Opens a connection to the server that `request` names.
    async fn open_for_other(
        &self,
        requester: IpAddr,
        request: &TunnelRequest,
    ) -> Result<Carrying, TunnelRefusal> {
        let (nodes, _) = self.nodes.nodes();
        if !nodes.iter().any(|node| node.address.ip() == requester) {
            return Err(TunnelRefusal::Stranger);
        }
        let carried = self.tunnel_table.carry_for(requester);
        let carried = carried.ok_or(TunnelRefusal::Busy)?;
        if self.tunnel_table.is_stopping() {
            return Err(TunnelRefusal::Stopping);
        }
        let (servers, _) = self.catalog.servers();
        let found = servers.binary_search_by(|server| server.id.cmp(&request.tunnel_to));
        let server = found.ok().map(|index| &servers[index]);
        let server = server.filter(|server| server.entry.start_time_ms == request.start_time_ms);
        let server = server.ok_or(TunnelRefusal::UnknownServer)?;
        let paths = self.direct_paths.get().ok_or(TunnelRefusal::Unreachable)?;
        let (servers, _) = self.catalog.servers_of(&server.entry.service);
        if paths.is_cut_off(&servers) {
            return Err(TunnelRefusal::CutOff);
        }
        let connection = paths.connect_directly(server).await;
        let connection = connection.map_err(|_| {
            if paths.is_cut_off(&servers) {
                TunnelRefusal::CutOff
            } else {
                TunnelRefusal::Unreachable
            }
        })?;
        Ok(Carrying {
            connection,
            server: server.clone(),
            paths: Arc::clone(paths),
            count: carried,
        })
    }
}

/// Answers a request for a tunnel and carries the tunnel, if one is opened, until either end closes it.
///
/// # Errors
///
/// Returns the reason if the requester can't be answered.
pub(super) async fn serve(
    shared: &Shared,
    mut socket: WebSocketStream<TcpStream>,
    requester: IpAddr,
    request: TunnelRequest,
) -> Result<(), String> {
    let opened = shared.open_for_other(requester, &request).await;
    let refusal = opened.as_ref().err().copied();
    let response = encode(&TunnelResponse { refusal })?;
    let sent = socket.send(Message::binary(response)).await;
    sent.map_err(|err| err.to_string())?;
    let carrying = match opened {
        Ok(carrying) => carrying,
        Err(refusal) => {
            info!(shared.logs.log(), "tunnel refused"; "request" => request.request,
                "server" => request.tunnel_to, "requester" => %requester, "cause" => %refusal);
            return Ok(());
        }
    };
    let began = BootInstant::now();
    let end = pass_on(socket, carrying.connection, &|| {
        carrying.paths.record_heard(&carrying.server);
    })
    .await;
    info!(shared.logs.log(), "tunnel ended"; "request" => request.request, "server" => request.tunnel_to,
        "requester" => %requester, "ms" => BootInstant::now().since(began).as_millis() as u64,
        "cause" => end);
    carrying.count.close();
    Ok(())
}

/// Passes bytes in both directions until one side ends; returns which one and how. Calls `heard` for bytes of the server. An
/// orderly end of the server that comes before it has taken the requester's bytes is not passed on as one: the requester has
/// written them and could not tell that its request was cut (`docs/design/UNFRAMED-ANSWERS.md`).
async fn pass_on(
    socket: WebSocketStream<TcpStream>,
    connection: Box<dyn Connection>,
    heard: &(dyn Fn() + Send + Sync),
) -> String {
    let (mut to_requester, mut from_requester) = socket.split();
    let (mut from_server, mut to_server) = tokio::io::split(connection);
    let is_writing = AtomicBool::new(false);
    tokio::select! {
        end = pass_to_server(&mut from_requester, &mut to_server, &is_writing) => end,
        end = pass_to_requester(&mut from_server, &mut to_requester, &is_writing, heard) => end,
    }
}

async fn pass_to_server(
    from_requester: &mut SplitStream<WebSocketStream<TcpStream>>,
    to_server: &mut WriteHalf<Box<dyn Connection>>,
    is_writing: &AtomicBool,
) -> String {
    loop {
        match from_requester.next().await {
            Some(Ok(Message::Binary(bytes))) => {
                is_writing.store(true, Ordering::Relaxed);
                if let Err(err) = to_server.write_all(&bytes).await {
                    return format!("server: {err}");
                }
                is_writing.store(false, Ordering::Relaxed);
            }
            // The requester closes a tunnel once its request has ended, without a close message.
            Some(Ok(Message::Close(_)) | Err(_)) | None => return "closed by requester".to_owned(),
            Some(Ok(_)) => {}
        }
    }
}

async fn pass_to_requester(
    from_server: &mut ReadHalf<Box<dyn Connection>>,
    to_requester: &mut SplitSink<WebSocketStream<TcpStream>, Message>,
    is_writing: &AtomicBool,
    heard: &(dyn Fn() + Send + Sync),
) -> String {
    let mut buf = vec![0; BUFFER_BYTES];
    loop {
        let message = match from_server.read(&mut buf).await {
            Ok(0) if is_writing.load(Ordering::Relaxed) => {
                return "server: closed before it had taken the request".to_owned();
            }
            // Only an orderly end is passed on as one.
            Ok(0) => Message::Close(None),
            Ok(count) => {
                heard();
                Message::binary(buf[..count].to_vec())
            }
            Err(err) => return format!("server: {err}"),
        };
        let is_end = matches!(message, Message::Close(_));
        if let Err(err) = to_requester.send(message).await {
            return format!("requester: {err}");
        }
        if is_end {
            return "closed by server".to_owned();
        }
    }
}
