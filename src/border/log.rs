//! Client for the platform's log service.

use super::generated::platform::AppendRequest;
use super::generated::platform::AppendResponse;
use super::generated::platform::ReadResponse;
use crate::net::Client;
use crate::net::SendError;
use crate::net::collect;
use crate::net::empty_body;
use crate::net::full_body;
use crate::operations::ControlKind;
use crate::operations::Metrics;
use async_trait::async_trait;
use bytes::Bytes;
use hyper::Request;
use hyper::StatusCode;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Maximum size of a response of the log service in bytes.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Reason why an append did not return an offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AppendError {
    /// The record certainly was not appended.
    NotAppended(String),
    /// The record may have been appended or not; only reading the stream shows which.
    Unsettled(String),
}

/// Reason why a read failed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The log service can't be reached, does not respond in time, or responds with an error status.
    Unavailable(String),
    /// The response can't be parsed.
    Malformed(String),
}

/// The platform's log service, which stores append-only streams of records with offsets. Its retention is limited, and
/// it has outages.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends one record to `stream` and returns its offset.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError::NotAppended`] if the record certainly was not appended, else [`AppendError::Unsettled`].
    async fn append(&self, stream: &str, data: &str) -> Result<u64, AppendError>;

    /// Reads at most `limit` records of `stream` from offset `from` on. If there are none yet, the service waits up to
    /// `wait` for a new record before it responds.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the service is unavailable or the response is malformed.
    async fn read(
        &self,
        stream: &str,
        from: u64,
        limit: u32,
        wait: Duration,
    ) -> Result<ReadResponse, ReadError>;
}

/// The platform's log service, reached over HTTP.
pub struct HttpLog {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
    metrics: Arc<Metrics>,
}

impl HttpLog {
    /// Creates an adapter for the service at `address`. Nothing is sent until the first append or read.
    pub fn new(
        client: Client,
        address: SocketAddr,
        timeout: Duration,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            client,
            address,
            timeout,
            metrics,
        }
    }

    fn uri(&self, stream: &str, query: &str) -> String {
        format!("http://{}/streams/{stream}/records{query}", self.address)
    }

    async fn fetch(&self, uri: &str, timeout: Duration) -> Result<Bytes, ReadError> {
        let req = Request::get(uri)
            .body(empty_body())
            .map_err(|err| ReadError::Unavailable(err.to_string()))?;
        let fetching = tokio::time::timeout(timeout, async {
            let response = self
                .client
                .send(req, timeout)
                .await
                .map_err(|err| ReadError::Unavailable(format!("{err:?}")))?;
            if response.status() != StatusCode::OK {
                return Err(ReadError::Unavailable(response.status().to_string()));
            }
            collect(response.into_body(), MAX_RESPONSE_BYTES)
                .await
                .map_err(|err| ReadError::Unavailable(format!("{err:?}")))
        });
        let body = fetching
            .await
            .map_err(|_| ReadError::Unavailable("timeout".to_owned()))??;
        self.metrics
            .add_control_bytes(ControlKind::Log, uri.len() + body.len());
        Ok(body)
    }
}

#[async_trait]
impl LogService for HttpLog {
    async fn append(&self, stream: &str, data: &str) -> Result<u64, AppendError> {
        let append = AppendRequest {
            data: data.to_owned(),
        };
        let body =
            serde_json::to_vec(&append).map_err(|err| AppendError::NotAppended(err.to_string()))?;
        self.metrics.add_control_bytes(ControlKind::Log, body.len());
        let req = Request::post(self.uri(stream, ""))
            .body(full_body(body))
            .map_err(|err| AppendError::NotAppended(err.to_string()))?;
        let response = match self.client.send(req, self.timeout).await {
            Ok(response) => response,
            Err(SendError::NotSent(cause)) => return Err(AppendError::NotAppended(cause)),
            Err(err) => return Err(AppendError::Unsettled(format!("{err:?}"))),
        };
        match response.status() {
            StatusCode::OK => {}
            status @ (StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE) => {
                return Err(AppendError::NotAppended(status.to_string()));
            }
            status => return Err(AppendError::Unsettled(status.to_string())),
        }
        let body = tokio::time::timeout(
            self.timeout,
            collect(response.into_body(), MAX_RESPONSE_BYTES),
        )
        .await
        .map_err(|_| AppendError::Unsettled("timeout".to_owned()))?
        .map_err(|err| AppendError::Unsettled(format!("{err:?}")))?;
        let appended: AppendResponse =
            serde_json::from_slice(&body).map_err(|err| AppendError::Unsettled(err.to_string()))?;
        Ok(appended.offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: u64,
        limit: u32,
        wait: Duration,
    ) -> Result<ReadResponse, ReadError> {
        let wait_ms = wait.as_millis();
        let query = format!("?from={from}&limit={limit}&wait_ms={wait_ms}");
        let uri = self.uri(stream, &query);
        let body = self.fetch(&uri, self.timeout + wait).await?;
        serde_json::from_slice(&body).map_err(|err| ReadError::Malformed(err.to_string()))
    }
}
