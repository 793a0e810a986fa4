//! Writes changes to the config stream like an operator's tool. Appends are retried while the log has faults.

use std::time::Duration;
use std::time::Instant;

use hyper::StatusCode;

use crate::fleet::CONFIG_STREAM;
use crate::fleet::Fleet;
use crate::fleet::operator::Operator;
use crate::fleet::operator::base;
use crate::http::Client;
use crate::wire::config::Change;
use crate::wire::config::Object;
use crate::wire::platform::AppendRequest;

/// Path of the config stream's records.
const RECORDS_PATH: &str = "/streams/config/records";
/// Pause before an append is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Maximum time for the response to an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(1);

/// A client that writes configuration changes as an operator.
pub struct ConfigWriter {
    operator: Operator,
    log: Client,
}

impl ConfigWriter {
    /// Creates a writer for the given operator.
    pub fn new(fleet: &Fleet, operator: Operator) -> ConfigWriter {
        ConfigWriter {
            operator,
            log: Client::new(fleet.log().address()),
        }
    }

    /// Returns the signed record of a change that writes one object. `version` is the version of the object that the
    /// change is based on, `read` the offset of the newest record that was read before.
    pub fn put(&self, id: &str, read: u64, object: Object, version: Option<u64>) -> String {
        self.operator.record(&Change {
            id: id.to_owned(),
            operator: self.operator.name().to_owned(),
            read: Some(read),
            note: String::new(),
            bases: vec![base(&object, version)],
            put: vec![object],
            delete: Vec::new(),
        })
    }

    /// Appends a record, with retries until a response confirms that it is in the log. Returns `false` if none does
    /// before `until`.
    pub async fn append(&self, record: &str, until: Instant) -> bool {
        let body = AppendRequest {
            data: record.to_owned(),
        };
        while Instant::now() < until {
            let sent = tokio::time::timeout(APPEND_TIMEOUT, self.log.post(RECORDS_PATH, &body));
            if let Ok(Ok(res)) = sent.await
                && res.status() == StatusCode::OK
            {
                return true;
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        false
    }
}

/// Returns the first offset at which the log contains a record.
pub fn offset_of(fleet: &Fleet, record: &str) -> Option<u64> {
    let records = fleet.log().records(CONFIG_STREAM);
    let found = records.iter().find(|(_, data)| data == record);
    found.map(|(offset, _)| *offset)
}

/// Returns the offset of the newest record in the log, or 0 if the log is empty.
pub fn newest_offset(fleet: &Fleet) -> u64 {
    let records = fleet.log().records(CONFIG_STREAM);
    records.last().map_or(0, |(offset, _)| *offset)
}
