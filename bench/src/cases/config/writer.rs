//! Writes changes to the config stream as an operator's tool does, through whatever the log is going through.

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
/// Pause before an append is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(150);
/// Longest wait for the answer of an append.
const APPEND_TIMEOUT: Duration = Duration::from_secs(1);

/// An operator's tool.
pub struct ConfigWriter {
    operator: Operator,
    log: Client,
}

impl ConfigWriter {
    /// A tool of the given operator.
    pub fn new(fleet: &Fleet, operator: Operator) -> ConfigWriter {
        ConfigWriter {
            operator,
            log: Client::new(fleet.log().address()),
        }
    }

    /// Makes the record that puts one object against the base given; `read` is the newest record read.
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

    /// Appends a record, again and again until an answer tells that it is in the log; gives up at `until`.
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

/// The first offset at which the log holds a record.
pub fn offset_of(fleet: &Fleet, record: &str) -> Option<u64> {
    let records = fleet.log().records(CONFIG_STREAM);
    let found = records.iter().find(|(_, data)| data == record);
    found.map(|(offset, _)| *offset)
}

/// The offset of the newest record in the log.
pub fn newest_offset(fleet: &Fleet) -> u64 {
    let records = fleet.log().records(CONFIG_STREAM);
    records.last().map_or(0, |(offset, _)| *offset)
}
