//! Callers that send by the rates of a sheet and don't try again.

use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper_util::rt::TokioIo;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering::Relaxed;
use std::time::Duration;
use std::time::Instant;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

use super::record::AnswerEnd;
use super::record::CallerAttempt;
use super::sheet::Route;
use super::sheet::Sheet;
use crate::http;
use crate::standin::balancer;
use crate::truth::lock;

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// The running callers.
#[derive(Debug)]
pub struct PlainCallers {
    is_closing: Arc<AtomicBool>,
    attempts: Arc<Mutex<Vec<CallerAttempt>>>,
    tasks: Vec<JoinHandle<()>>,
}

impl PlainCallers {
    /// Starts callers in each data centre that call the balancer at its address there, with these keys.
    pub fn start(
        sheet: &Sheet,
        balancers: &[SocketAddr],
        keys: &[(String, String)],
        seed: u64,
    ) -> Self {
        let is_closing = Arc::new(AtomicBool::new(false));
        let attempts = Arc::new(Mutex::new(Vec::new()));
        let places = 0..sheet.data_centres.len();
        let tasks = places.map(|place| {
            let sender = Sender {
                sheet: sheet.clone(),
                place,
                balancer: balancers[place],
                keys: keys.to_vec(),
                attempts: Arc::clone(&attempts),
            };
            let rng = StdRng::seed_from_u64(seed * 31 + place as u64);
            tokio::spawn(sender.send_all(rng, Arc::clone(&is_closing)))
        });
        Self {
            tasks: tasks.collect(),
            is_closing,
            attempts,
        }
    }

    /// Sends nothing new, waits for the ends of what was begun, and returns all attempts by their times.
    ///
    /// # Panics
    ///
    /// Panics if one of the callers did.
    pub async fn close(self) -> Vec<CallerAttempt> {
        self.is_closing.store(true, Relaxed);
        for task in self.tasks {
            task.await.expect("callers don't panic");
        }
        let mut attempts = std::mem::take(&mut *lock(&self.attempts));
        attempts.sort_by_key(|attempt| attempt.sent);
        attempts
    }
}

struct Sender {
    sheet: Sheet,
    place: usize,
    balancer: SocketAddr,
    keys: Vec<(String, String)>,
    attempts: Arc<Mutex<Vec<CallerAttempt>>>,
}

impl Sender {
    async fn send_all(self, mut rng: StdRng, is_closing: Arc<AtomicBool>) {
        let sender = Arc::new(self);
        let mut requests = JoinSet::new();
        let started = Instant::now();
        let mut at = Duration::ZERO;
        let mut number = 0;
        while !is_closing.load(Relaxed) {
            let rate = sender.sheet.data_centres[sender.place].rate;
            at += Duration::from_secs_f64(-(1.0 - rng.random::<f64>()).ln() / rate);
            tokio::time::sleep_until((started + at).into()).await;
            number += 1;
            let route = sender.draw_route(&mut rng).clone();
            let events = route.events.map_or(0, |events| events.mean as u64);
            let key = sender.keys[rng.random_range(0..sender.keys.len())]
                .0
                .clone();
            let id = format!("{}-{number}", sender.sheet.data_centres[sender.place].name);
            let sender = Arc::clone(&sender);
            requests.spawn(async move { sender.send(route, id, key, events).await });
            while requests.try_join_next().is_some() {}
        }
        requests.join_all().await;
    }

    fn draw_route(&self, rng: &mut StdRng) -> &Route {
        let routes = &self.sheet.routes;
        let mut left = rng.random::<f64>() * routes.iter().map(|route| route.rate).sum::<f64>();
        let found = routes.iter().find(|route| {
            left -= route.rate;
            left < 0.0
        });
        found.unwrap_or(&routes[0])
    }

    async fn send(&self, route: Route, id: String, key: String, events: u64) {
        let sent = Instant::now();
        let mut attempt = CallerAttempt {
            first_attempt: id.clone(),
            target: format!("{}x", route.path_prefix()),
            request_body: Bytes::from(vec![b'x'; route.request_bytes]),
            id,
            key,
            route: route.name.clone(),
            data_centre: self.sheet.data_centres[self.place].name.clone(),
            gateway: None,
            sent,
            deadline: Duration::from_millis(route.deadline_ms),
            resume_after: None,
            head_at: None,
            status: 0,
            answered_id: String::new(),
            seal: String::new(),
            retry_after: None,
            arrivals: Vec::new(),
            body: Bytes::new(),
            end: AnswerEnd::Broken,
            ended: sent,
        };
        let deadline = attempt.deadline;
        let sending = self.exchange(&mut attempt, &route, events);
        let result = tokio::time::timeout(deadline, sending).await;
        attempt.end = match result {
            Err(_) => AnswerEnd::TimedOut,
            Ok(Some(())) => AnswerEnd::Complete,
            Ok(None) => AnswerEnd::Broken,
        };
        attempt.ended = Instant::now();
        lock(&self.attempts).push(attempt);
    }

    async fn exchange(
        &self,
        attempt: &mut CallerAttempt,
        route: &Route,
        events: u64,
    ) -> Option<()> {
        let connecting = balancer::connect(self.balancer);
        let connected = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await;
        let (gateway, stream) = connected.ok()?.ok()?;
        attempt.gateway = Some(gateway);
        let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
        let (mut sender, connection) = handshake.await.ok()?;
        tokio::spawn(connection);
        let method = if route.request_bytes == 0 {
            "GET"
        } else {
            "POST"
        };
        let mut req = hyper::Request::builder()
            .method(method)
            .uri(&attempt.target)
            .header("host", self.sheet.hostname())
            .header("currantbend-request-id", &attempt.id)
            .header("currantbend-deadline-ms", route.deadline_ms.to_string())
            .header("authorization", format!("Token {}", attempt.key));
        if route.is_stream() {
            let tokens: u64 = route.prompt_tokens.iter().sum();
            req = req
                .header("currantbend-model", "m")
                .header("currantbend-token-counts", format!("{tokens},{events}"))
                .header("currantbend-prompt-prefix", format!("5c1e07a2:{tokens}"));
        }
        let req = req.body(Full::new(attempt.request_body.clone())).ok()?;
        let (head, mut body) = sender.send_request(req).await.ok()?.into_parts();
        attempt.head_at = Some(Instant::now());
        attempt.status = head.status.as_u16();
        let text = |name| http::header(&head.headers, name).to_owned();
        attempt.answered_id = text("currantbend-request-id");
        attempt.seal = text("currantbend-response-seal");
        let mut read = Vec::new();
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                attempt.body = read.into();
                return None;
            };
            let bytes = frame.into_data().unwrap_or_default();
            attempt.arrivals.push((Instant::now(), bytes.len()));
            read.extend_from_slice(&bytes);
        }
        attempt.body = read.into();
        Some(())
    }
}
