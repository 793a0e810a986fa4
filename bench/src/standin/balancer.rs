//! The entry balancer of the users' platform as a process of its own, program `cb-balancer`: it forwards each connection of a caller
//! to a gateway of the caller's data centre, chosen by a hash of the caller's address.
//!
//! It knows no protocol but the question whether a gateway is ready. The link behind it tells the caller the number of the gateway
//! that has accepted the connection, which [`connect`] reads.

use hyper::StatusCode;
use pico_args::Arguments;
use std::ffi::OsString;
use std::hash::DefaultHasher;
use std::hash::Hash;
use std::hash::Hasher;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

use super::stop::Stop;
use super::stop::requested_args;
use crate::http;
use crate::truth::lock;

/// The help of the program.
pub const HELP: &str = "\
Runs the simulated entry balancer of the platform until SIGTERM.

Usage:
  cb-balancer [options]

Options, each as often as needed:
  --place REGION,IP:PORT                    a data centre and where its callers connect
  --gateway PLACE,CALLERS,READY             a gateway: number of its data centre, address for callers, address for
                                            questions whether it is ready
";

/// Variable of the environment that holds the arguments, one a line. It is set for processes that end with their parent.
pub const ARGS_VARIABLE: &str = "CB_BALANCER_ARGS";
/// Interval of the questions whether a gateway is ready, and time for an answer.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);
/// Number of answers in a row that must be missing before a gateway gets no new connections.
const MISSES: u32 = 2;

/// A data centre.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Place {
    /// Name of its region.
    pub region: String,
    /// Where its callers connect.
    pub listen: SocketAddr,
}

/// A gateway.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Number of its data centre.
    pub place: usize,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for questions whether it is ready.
    pub ready: SocketAddr,
}

/// Data centres and gateways.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct BalancerOptions {
    /// By number.
    pub places: Vec<Place>,
    /// By number.
    pub gateways: Vec<Backend>,
}

impl BalancerOptions {
    /// Reads the options from arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if an argument is unknown or has an invalid value.
    pub fn parse(args: Vec<OsString>) -> Result<Self, pico_args::Error> {
        let mut args = Arguments::from_vec(args);
        let options = Self {
            places: args.values_from_fn("--place", parse_place)?,
            gateways: args.values_from_fn("--gateway", parse_gateway)?,
        };
        match args.finish().pop() {
            Some(left) => Err(pico_args::Error::ArgumentParsingFailed {
                cause: format!("\"{}\" is not understood", left.to_string_lossy()),
            }),
            None => Ok(options),
        }
    }

    /// Returns the arguments that [`BalancerOptions::parse`] reads the options from.
    pub fn to_args(&self) -> Vec<String> {
        let places = self.places.iter();
        let places = places.map(|place| format!("--place={},{}", place.region, place.listen));
        let gateways = self.gateways.iter().map(|gateway| {
            let Backend {
                place,
                callers,
                ready,
            } = gateway;
            format!("--gateway={place},{callers},{ready}")
        });
        places.chain(gateways).collect()
    }
}

fn parse_place(text: &str) -> Result<Place, String> {
    let place = text.split_once(',').and_then(|(region, listen)| {
        Some(Place {
            region: region.to_owned(),
            listen: listen.parse().ok()?,
        })
    });
    place.ok_or_else(|| format!("\"{text}\" is no data centre"))
}

fn parse_gateway(text: &str) -> Result<Backend, String> {
    let mut words = text.split(',');
    let mut next = || words.next().unwrap_or_default();
    let (place, callers, ready) = (next().parse(), next().parse(), next().parse());
    match (place, callers, ready) {
        (Ok(place), Ok(callers), Ok(ready)) => Ok(Backend {
            place,
            callers,
            ready,
        }),
        _ => Err(format!("\"{text}\" is no gateway")),
    }
}

/// Which gateways get new connections.
#[derive(Clone, Debug)]
pub struct Rotation {
    regions: Vec<String>,
    /// Data centre of each gateway.
    places: Vec<usize>,
    is_ready: Vec<bool>,
    /// Whether each gateway was ready at any time: others aren't added to the fleet yet.
    is_known: Vec<bool>,
}

impl Rotation {
    /// Returns the rotation of the data centres with these regions, and of gateways in `places`, none of which is ready.
    pub fn new(regions: Vec<String>, places: Vec<usize>) -> Self {
        Self {
            is_ready: vec![false; places.len()],
            is_known: vec![false; places.len()],
            regions,
            places,
        }
    }

    /// Takes a gateway in or out.
    pub fn set_ready(&mut self, gateway: usize, is_ready: bool) {
        self.is_ready[gateway] = is_ready;
        self.is_known[gateway] |= is_ready;
    }

    /// Returns the gateway for a caller with this hash in data centre `place`, or `None` if there is none at all.
    ///
    /// All gateways of a data centre are used if fewer than half of them are ready, and those of the nearest others if none is.
    pub fn choose(&self, place: usize, hash: u64) -> Option<usize> {
        let region = &self.regions[place];
        let mut candidates = self.usable(place);
        if candidates.is_empty() {
            candidates = self.usable_in(|other| &self.regions[other] == region);
        }
        if candidates.is_empty() {
            candidates = self.usable_in(|_| true);
        }
        if candidates.is_empty() {
            candidates = self.all(place);
        }
        let number = hash % (candidates.len() as u64).max(1);
        candidates.get(number as usize).copied()
    }

    fn all(&self, place: usize) -> Vec<usize> {
        let all = 0..self.places.len();
        all.filter(|it| self.is_known[*it] && self.places[*it] == place)
            .collect()
    }

    /// Returns the gateways of a data centre that are ready, or all if these are fewer than half but some.
    fn usable(&self, place: usize) -> Vec<usize> {
        let all = self.all(place);
        let ready = all.iter().copied().filter(|it| self.is_ready[*it]);
        let ready: Vec<usize> = ready.collect();
        if !ready.is_empty() && ready.len() * 2 < all.len() {
            return all;
        }
        ready
    }

    /// Returns the usable gateways of several data centres.
    fn usable_in(&self, is_meant: impl Fn(usize) -> bool) -> Vec<usize> {
        let places = (0..self.regions.len()).filter(|place| is_meant(*place));
        places.flat_map(|place| self.usable(place)).collect()
    }
}

/// Returns the options that the environment has for this process; `None` if it isn't asked to be the balancer.
pub fn requested() -> Option<Result<BalancerOptions, pico_args::Error>> {
    requested_args(ARGS_VARIABLE).map(BalancerOptions::parse)
}

/// Runs the balancer until SIGTERM, or until its parent is gone if that started it by the environment.
///
/// # Errors
///
/// Returns an error if an address can't be bound.
pub async fn run(options: BalancerOptions) -> io::Result<()> {
    let mut stop = Stop::new(ARGS_VARIABLE)?;
    let regions = options.places.iter().map(|place| place.region.clone());
    let places = options.gateways.iter().map(|gateway| gateway.place);
    let rotation = Rotation::new(regions.collect(), places.collect());
    let rotation = Arc::new(Mutex::new(rotation));
    let gateways: Arc<[Backend]> = options.gateways.into();
    for (number, gateway) in gateways.iter().enumerate() {
        tokio::spawn(check(number, gateway.ready, Arc::clone(&rotation)));
    }
    for (number, place) in options.places.iter().enumerate() {
        let listener = TcpListener::bind(place.listen).await?;
        let (gateways, rotation) = (Arc::clone(&gateways), Arc::clone(&rotation));
        tokio::spawn(accept(listener, number, gateways, rotation));
    }
    stop.wait().await;
    Ok(())
}

/// Asks a gateway each second whether it is ready.
async fn check(number: usize, address: SocketAddr, rotation: Arc<Mutex<Rotation>>) {
    let mut misses = 0;
    let mut interval = tokio::time::interval(CHECK_INTERVAL);
    loop {
        interval.tick().await;
        let asking = tokio::time::timeout(CHECK_INTERVAL, is_ready(address));
        misses = match asking.await {
            Ok(true) => 0,
            _ => misses + 1,
        };
        if misses == 0 || misses >= MISSES {
            lock(&rotation).set_ready(number, misses == 0);
        }
    }
}

/// Asks once whether the gateway with this address for such questions is ready.
pub async fn is_ready(address: SocketAddr) -> bool {
    let Ok(mut sender) = http::connect(address).await else {
        return false;
    };
    let mut req = http::request("GET", "/api/ready", "");
    let host = hyper::header::HeaderValue::from_static("balancer");
    req.headers_mut().insert(hyper::header::HOST, host);
    let answer = sender.send_request(req).await;
    answer.is_ok_and(|res| res.status() == StatusCode::OK)
}

async fn accept(
    listener: TcpListener,
    place: usize,
    gateways: Arc<[Backend]>,
    rotation: Arc<Mutex<Rotation>>,
) {
    loop {
        // An accept error concerns a single connection or is temporary.
        let Ok((caller, source)) = listener.accept().await else {
            continue;
        };
        let mut hasher = DefaultHasher::new();
        source.hash(&mut hasher);
        let chosen = lock(&rotation).choose(place, hasher.finish());
        let Some(chosen) = chosen else {
            continue;
        };
        let address = gateways[chosen].callers;
        tokio::spawn(async move {
            // An error here concerns only the two sides, which see it.
            let _ = forward(caller, address).await;
        });
    }
}

/// Passes bytes in both directions until both have ended, or one fails, which resets the other.
async fn forward(mut caller: TcpStream, gateway: SocketAddr) -> io::Result<()> {
    let Ok(mut gateway) = TcpStream::connect(gateway).await else {
        return caller.set_zero_linger();
    };
    caller.set_nodelay(true)?;
    gateway.set_nodelay(true)?;
    let copied = tokio::io::copy_bidirectional(&mut caller, &mut gateway).await;
    if copied.is_err() {
        caller.set_zero_linger()?;
        gateway.set_zero_linger()?;
    }
    Ok(())
}

/// Connects to the balancer at the address of a data centre; returns the number of the gateway that has accepted the connection.
///
/// # Errors
///
/// Returns an error if no gateway accepts it. It waits as long as none answers.
pub async fn connect(balancer: SocketAddr) -> io::Result<(usize, TcpStream)> {
    let mut stream = TcpStream::connect(balancer).await?;
    stream.set_nodelay(true)?;
    let gateway = stream.read_u16().await?;
    Ok((usize::from(gateway), stream))
}

#[cfg(test)]
mod tests;
