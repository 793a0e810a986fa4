//! The platform's log service.

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

/// Largest answer of the log service that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Why an append has no offset.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AppendError {
    /// The record certainly was not appended.
    NotAppended(String),
    /// The record may have been appended; only reading the stream can tell.
    Unsettled(String),
}

/// Why a read has no records.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The log service can't be reached or refuses.
    Unavailable(String),
    /// Its answer can't be understood.
    Malformed(String),
}

/// The platform's log service: append-only streams with offsets, limited retention, outages.
#[async_trait]
pub trait LogService: Send + Sync {
    /// Appends one record to `stream` and returns its offset.
    ///
    /// # Errors
    ///
    /// Tells whether the record certainly was not appended.
    async fn append(&self, stream: &str, data: &str) -> Result<u64, AppendError>;

    /// Reads at most `limit` records of `stream` from offset `from` on; waits up to `wait` for one to arrive.
    ///
    /// # Errors
    ///
    /// Tells whether the service or its answer is at fault.
    async fn read(
        &self,
        stream: &str,
        from: u64,
        limit: u32,
        wait: Duration,
    ) -> Result<ReadResponse, ReadError>;
}

/// The log service over HTTP.
pub struct HttpLog {
    client: Client,
    address: SocketAddr,
    timeout: Duration,
    metrics: Arc<Metrics>,
}

impl HttpLog {
    /// Makes an adapter for the service at `address`; nothing is sent yet.
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
        let answer = tokio::time::timeout(timeout, async {
            let response = self
                .client
                .send(req, timeout)
                .await
                .map_err(|err| ReadError::Unavailable(format!("{err:?}")))?;
            if response.status() != StatusCode::OK {
                return Err(ReadError::Unavailable(response.status().to_string()));
            }
            collect(response.into_body(), MAX_ANSWER_BYTES)
                .await
                .map_err(|err| ReadError::Unavailable(format!("{err:?}")))
        });
        let body = answer
            .await
            .map_err(|_| ReadError::Unavailable("timeout".to_owned()))??;
        self.metrics
            .control_bytes(ControlKind::Log, uri.len() + body.len());
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
        self.metrics.control_bytes(ControlKind::Log, body.len());
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
            collect(response.into_body(), MAX_ANSWER_BYTES),
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
