//! Events that a process records on the timeline.

use super::EventKind;
use slog::KV;
use slog::Record;
use slog::Serializer;
use std::time::Duration;

/// An event with the request, servers and figures that it concerns.
#[derive(Clone, Copy, Debug)]
pub struct Event<'a> {
    /// Kind of the event.
    pub kind: EventKind,
    /// The caller's request.
    pub request: Option<&'a str>,
    /// One attempt of the request.
    pub attempt: Option<&'a str>,
    /// The chat.
    pub chat: Option<&'a str>,
    /// The team.
    pub team: Option<&'a str>,
    /// The backend server.
    pub backend: Option<&'a str>,
    /// The service that the request is sent to.
    pub service: Option<&'a str>,
    /// The other node.
    pub peer: Option<&'a str>,
    /// Any other detail, in a word or two, such as the reason for a refusal.
    pub detail: Option<&'a str>,
    /// Requests in flight at the backend server, including this one.
    pub load: Option<u32>,
    /// Duration of the step that ends with this event.
    pub took: Option<Duration>,
}

impl<'a> Event<'a> {
    /// Creates an event with a kind and no other fields.
    pub fn new(kind: EventKind) -> Self {
        Self {
            kind,
            request: None,
            attempt: None,
            chat: None,
            team: None,
            backend: None,
            service: None,
            peer: None,
            detail: None,
            load: None,
            took: None,
        }
    }

    /// Adds the caller's request.
    pub fn request(mut self, request: &'a str) -> Self {
        self.request = Some(request);
        self
    }

    /// Adds the attempt.
    pub fn attempt(mut self, attempt: &'a str) -> Self {
        self.attempt = Some(attempt);
        self
    }

    /// Adds the chat.
    pub fn chat(mut self, chat: Option<&'a str>) -> Self {
        self.chat = chat;
        self
    }

    /// Adds the team.
    pub fn team(mut self, team: &'a str) -> Self {
        self.team = Some(team);
        self
    }

    /// Adds the backend server.
    pub fn backend(mut self, backend: &'a str) -> Self {
        self.backend = Some(backend);
        self
    }

    /// Adds the service.
    pub fn service(mut self, service: &'a str) -> Self {
        self.service = Some(service);
        self
    }

    /// Adds the load of the backend server.
    pub fn load(mut self, load: u32) -> Self {
        self.load = Some(load);
        self
    }

    /// Adds the duration of the step; it is also recorded in the metrics.
    pub fn took(mut self, took: Duration) -> Self {
        self.took = Some(took);
        self
    }

    /// Adds the other node.
    pub fn peer(mut self, peer: &'a str) -> Self {
        self.peer = Some(peer);
        self
    }

    /// Adds a detail, in a word or two.
    pub fn detail(mut self, detail: &'a str) -> Self {
        self.detail = Some(detail);
        self
    }
}

impl KV for Event<'_> {
    fn serialize(&self, _: &Record<'_>, serializer: &mut dyn Serializer) -> slog::Result {
        serializer.emit_str("event", self.kind.as_str())?;
        let fields = [
            ("request", self.request),
            ("attempt", self.attempt),
            ("chat", self.chat),
            ("team", self.team),
            ("backend", self.backend),
            ("service", self.service),
            ("peer", self.peer),
            ("detail", self.detail),
        ];
        for (key, value) in fields {
            if let Some(value) = value {
                serializer.emit_str(key, value)?;
            }
        }
        if let Some(load) = self.load {
            serializer.emit_u32("load", load)?;
        }
        if let Some(took) = self.took {
            serializer.emit_f64("took_ms", took.as_micros() as f64 / 1_000.0)?;
        }
        Ok(())
    }
}
