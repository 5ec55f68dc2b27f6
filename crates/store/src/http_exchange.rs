//! Translates operations to HTTP requests and HTTP responses to replies.

use std::time::Duration;

use reqwest::{Client, Method, RequestBuilder, Response, StatusCode};
use serde::Deserialize;
use serde::de::DeserializeOwned;

use crate::key::InvalidRequest;
use crate::object::{Current, Listing, MachineList, Object, Revision, Version, WatchBatch};
use crate::operation::{Operation, Reply};
use crate::outcome::Answer;

/// Largest answer that the client reads, in bytes. A larger one counts as unreadable.
const MAX_ANSWER_BYTES: usize = 256 * 1024 * 1024;

#[derive(Deserialize)]
struct WrittenBody {
    version: Version,
}

#[derive(Deserialize)]
struct ConflictBody {
    current: Option<Current>,
}

#[derive(Deserialize)]
struct HistoryLostBody {
    revision: Revision,
}

#[derive(Deserialize)]
struct ErrorBody {
    error: String,
}

/// What the answer's status says about its body.
enum Meaning {
    Success,
    NotFound,
    Conflict,
    HistoryLost,
    Refused,
    NothingDone,
    Unreadable,
}

/// The request for an operation. A watch asks the store to hold it for `wait`.
pub(crate) fn request(
    client: &Client,
    base: &str,
    operation: &Operation,
    wait: Duration,
) -> RequestBuilder {
    match operation {
        Operation::List { prefix } => {
            client.request(Method::GET, format!("{base}/v1/objects?prefix={prefix}"))
        }
        Operation::Get { key } => client.request(Method::GET, format!("{base}/v1/objects/{key}")),
        Operation::Put { key, value, expect } => client
            .request(
                Method::PUT,
                format!("{base}/v1/objects/{key}?expect={expect}"),
            )
            .json(value),
        Operation::Delete { key, expect } => client.request(
            Method::DELETE,
            format!("{base}/v1/objects/{key}?expect={expect}"),
        ),
        Operation::Watch { prefix, after } => {
            let wait_ms = wait.as_millis();
            let query = format!("prefix={prefix}&after={after}&wait_ms={wait_ms}");
            client.request(Method::GET, format!("{base}/v1/watch?{query}"))
        }
        Operation::Machines => client.request(Method::GET, format!("{base}/v1/machines")),
    }
}

/// The answer after a request failed without a response.
pub(crate) fn failed(error: &reqwest::Error) -> Answer {
    let cause = describe(error);
    if error.is_connect() || error.is_builder() {
        Answer::Unavailable { cause }
    } else {
        Answer::Unknown { cause }
    }
}

/// Reads a response to the end and translates it.
pub(crate) async fn read(operation: &Operation, response: Response) -> Answer {
    let status = response.status();
    match read_body(response).await {
        Ok(body) => translate(operation, status, &body),
        Err(cause) => Answer::Unknown { cause },
    }
}

fn translate(operation: &Operation, status: StatusCode, body: &[u8]) -> Answer {
    let reply = match meaning(status) {
        Meaning::Success => success(operation, body),
        // Only the store's own 404 proves that there is no such object.
        Meaning::NotFound if matches!(operation, Operation::Get { .. }) => {
            parse::<ErrorBody>(body).map(|_| Reply::Object(None))
        }
        Meaning::Conflict => parse::<ConflictBody>(body).map(|body| Reply::Conflict {
            current: body.current,
        }),
        Meaning::HistoryLost => parse::<HistoryLostBody>(body).map(|body| Reply::HistoryLost {
            revision: body.revision,
        }),
        Meaning::Refused => parse::<ErrorBody>(body)
            .map(|body| Reply::Invalid(InvalidRequest::Refused { reason: body.error })),
        Meaning::NothingDone => {
            return Answer::Unavailable {
                cause: format!("store answered {status}"),
            };
        }
        Meaning::NotFound | Meaning::Unreadable => Err(format!("store answered {status}")),
    };
    match reply {
        Ok(reply) => Answer::Reply(reply),
        Err(cause) => Answer::Unknown { cause },
    }
}

fn meaning(status: StatusCode) -> Meaning {
    match status {
        StatusCode::OK => Meaning::Success,
        StatusCode::NOT_FOUND => Meaning::NotFound,
        StatusCode::CONFLICT => Meaning::Conflict,
        StatusCode::GONE => Meaning::HistoryLost,
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => Meaning::Refused,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Meaning::NothingDone,
        _ => Meaning::Unreadable,
    }
}

fn success(operation: &Operation, body: &[u8]) -> Result<Reply, String> {
    match operation {
        Operation::List { .. } => parse::<Listing>(body).map(Reply::Listing),
        Operation::Get { .. } => parse::<Object>(body).map(|object| Reply::Object(Some(object))),
        Operation::Put { .. } | Operation::Delete { .. } => {
            parse::<WrittenBody>(body).map(|body| Reply::Written {
                version: body.version,
            })
        }
        Operation::Watch { .. } => parse::<WatchBatch>(body).map(Reply::Changes),
        Operation::Machines => parse::<MachineList>(body).map(Reply::Machines),
    }
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, String> {
    serde_json::from_slice(body).map_err(|error| format!("unreadable answer: {error}"))
}

async fn read_body(mut response: Response) -> Result<Vec<u8>, String> {
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.map_err(|error| describe(&error))? {
        if body.len() + chunk.len() > MAX_ANSWER_BYTES {
            return Err(format!("answer is larger than {MAX_ANSWER_BYTES} bytes"));
        }
        body.extend_from_slice(&chunk);
    }
    Ok(body)
}

/// An error with its sources, since reqwest's own text leaves them out.
fn describe(error: &reqwest::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(cause) = source {
        text.push_str(": ");
        text.push_str(&cause.to_string());
        source = cause.source();
    }
    text
}
