//! The store of the users' platform as a process of its own, program `cb-store`, and the handle that writes to it and sets its
//! faults over a second address.

use bytes::Bytes;
use futures_util::future::BoxFuture;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use percent_encoding::NON_ALPHANUMERIC;
use percent_encoding::utf8_percent_encode;
use pico_args::Arguments;
use std::ffi::OsString;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::peer_relay::RelayPorts;
use super::stop::Stop;
use super::stop::requested_args;
use super::store::StoreService;
use crate::http;
use crate::http::Abort;
use crate::http::Client;
use crate::http::HandlerResult;
use crate::http::Server;
use crate::query::Query;

/// The help of the program.
pub const HELP: &str = "\
Runs the simulated store of the platform until SIGTERM.

Usage:
  cb-store [options]

Options:
  --address IP:PORT   address that gateways call (127.0.0.1:8223)
  --control IP:PORT   address at which records are put and faults are set (127.0.0.1:8224)
  --view IP:PORT,PORT,PORT
                      further address that gateways call, the port of gateways there and the first of a block of
                      100 ports of servers; may be repeated
";

/// Variable of the environment that holds the arguments, one a line. It is set for processes that end with their parent.
pub const ARGS_VARIABLE: &str = "CB_STORE_ARGS";

/// Addresses of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoreOptions {
    /// Address that gateways call.
    pub address: SocketAddr,
    /// Address at which records are put and faults are set.
    pub control: SocketAddr,
    /// Further addresses that gateways call, with the ports of entries there.
    pub views: Vec<(SocketAddr, RelayPorts)>,
}

fn parse_view(text: &str) -> Result<(SocketAddr, RelayPorts), String> {
    let mut parts = text.split(',');
    let address = parts.next().unwrap_or_default().parse();
    let address = address.map_err(|err| format!("{err}"))?;
    let mut port = || match parts.next() {
        Some(part) => part.parse().map_err(|err| format!("{err}")),
        None => Err("there is a port too few".to_owned()),
    };
    let ports = RelayPorts {
        peers: port()?,
        first_server: Some(port()?),
    };
    Ok((address, ports))
}

impl StoreOptions {
    /// Reads the options from arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if an argument is unknown or has an invalid value.
    pub fn parse(args: Vec<OsString>) -> Result<Self, pico_args::Error> {
        let mut args = Arguments::from_vec(args);
        let local = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
        let address = args.opt_value_from_str("--address")?;
        let control = args.opt_value_from_str("--control")?;
        let views = args.values_from_fn("--view", parse_view)?;
        match args.finish().pop() {
            Some(left) => Err(pico_args::Error::ArgumentParsingFailed {
                cause: format!("\"{}\" is not understood", left.to_string_lossy()),
            }),
            None => Ok(Self {
                address: address.unwrap_or(local(8223)),
                control: control.unwrap_or(local(8224)),
                views,
            }),
        }
    }

    /// Returns the arguments that [`StoreOptions::parse`] reads the options from.
    pub fn to_args(&self) -> Vec<String> {
        let mut args = vec![
            format!("--address={}", self.address),
            format!("--control={}", self.control),
        ];
        for (address, ports) in &self.views {
            let first_server = ports.first_server.unwrap_or_default();
            args.push(format!("--view={address},{},{first_server}", ports.peers));
        }
        args
    }
}

/// Returns the options that the environment has for this process; `None` if it isn't asked to be the store.
pub fn requested() -> Option<Result<StoreOptions, pico_args::Error>> {
    requested_args(ARGS_VARIABLE).map(StoreOptions::parse)
}

/// Runs the store until SIGTERM, or until its parent is gone if that started it by the environment.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn run(options: StoreOptions) -> io::Result<()> {
    let mut stop = Stop::new(ARGS_VARIABLE)?;
    let store = Arc::new(StoreService::start(options.address).await?);
    for (address, ports) in options.views {
        store.add_view(address, ports).await?;
    }
    let handler: http::Handler = Arc::new(move |req| -> BoxFuture<'static, HandlerResult> {
        let store = Arc::clone(&store);
        Box::pin(async move { control(&store, req).await })
    });
    let server = Server::start(options.control, handler).await?;
    stop.wait().await;
    server.abort().await;
    Ok(())
}

/// Does what a request of the control address says.
async fn control(store: &StoreService, req: Request<Incoming>) -> HandlerResult {
    let path = req.uri().path().to_owned();
    let Ok(query) = Query::decode(req.uri().query()) else {
        return Ok(http::empty(StatusCode::BAD_REQUEST));
    };
    let text = |name: &str| query.text(name).unwrap_or_default();
    let number = |name: &str| query.number(name).unwrap_or(0);
    let faults = store.faults();
    match path.as_str() {
        "/put" => {
            let body = http::read_body(req.into_body()).await.map_err(|_| Abort)?;
            let value = (!body.is_empty()).then_some(&*body);
            store.put(text("topic"), text("key"), value);
        }
        "/drop-history" => store.drop_history(text("topic")),
        "/refusal" => {
            let status = u16::try_from(number("status")).unwrap_or(0);
            faults.set_refusal((status > 0).then_some(status));
        }
        "/silence" => faults.set_silent(number("is-on") > 0),
        "/delay" => faults.set_delay(Duration::from_millis(number("ms"))),
        "/loss" => {
            faults.set_lost_responses(number("permille") as u32);
            faults.set_lost_append_delay(Duration::from_millis(number("later-ms")));
        }
        _ => return Ok(http::empty(StatusCode::NOT_FOUND)),
    }
    Ok(http::empty(StatusCode::OK))
}

/// Writes to a store process and sets its faults.
#[derive(Debug)]
pub struct StoreControl {
    client: Client,
}

impl StoreControl {
    /// Returns the control of the store that has its control address at `control`.
    pub fn new(control: SocketAddr) -> Self {
        Self {
            client: Client::new(control),
        }
    }

    /// Writes a record, as the operator or a backend server does; an empty value deletes the key.
    ///
    /// # Errors
    ///
    /// Returns an error if the store doesn't confirm it.
    pub async fn put(&self, topic: &str, key: &str, value: Bytes) -> io::Result<()> {
        let key = utf8_percent_encode(key, NON_ALPHANUMERIC);
        self.call(&format!("/put?topic={topic}&key={key}"), value)
            .await
    }

    /// Deletes the records of a topic; the newest value of each key stays.
    ///
    /// # Errors
    ///
    /// As [`StoreControl::put`].
    pub async fn drop_history(&self, topic: &str) -> io::Result<()> {
        self.call(&format!("/drop-history?topic={topic}"), Bytes::new())
            .await
    }

    /// Refuses every call of gateways with `status`; serves again if `None`.
    ///
    /// # Errors
    ///
    /// As [`StoreControl::put`].
    pub async fn set_refusal(&self, status: Option<u16>) -> io::Result<()> {
        let status = status.unwrap_or(0);
        self.call(&format!("/refusal?status={status}"), Bytes::new())
            .await
    }

    /// Leaves every call of gateways without a response or an effect; serves again if `false`.
    ///
    /// # Errors
    ///
    /// As [`StoreControl::put`].
    pub async fn set_silent(&self, is_silent: bool) -> io::Result<()> {
        let is_on = u8::from(is_silent);
        self.call(&format!("/silence?is-on={is_on}"), Bytes::new())
            .await
    }

    /// Delays the handling of each call of gateways.
    ///
    /// # Errors
    ///
    /// As [`StoreControl::put`].
    pub async fn set_delay(&self, delay: Duration) -> io::Result<()> {
        let ms = delay.as_millis();
        self.call(&format!("/delay?ms={ms}"), Bytes::new()).await
    }

    /// Sends no response to this number of appends in a thousand, and writes their records only after `later`.
    ///
    /// # Errors
    ///
    /// As [`StoreControl::put`].
    pub async fn set_loss(&self, permille: u32, later: Duration) -> io::Result<()> {
        let ms = later.as_millis();
        let path = format!("/loss?permille={permille}&later-ms={ms}");
        self.call(&path, Bytes::new()).await
    }

    async fn call(&self, path: &str, body: Bytes) -> io::Result<()> {
        let req = http::request("POST", path, body);
        let res = self.client.send(req).await.map_err(io::Error::other)?;
        if res.status() == StatusCode::OK {
            return Ok(());
        }
        Err(io::Error::other(format!("{path} got {}", res.status())))
    }
}
