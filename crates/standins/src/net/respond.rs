//! Reads requests and writes answers in JSON.

use std::str::FromStr;

use salvo::conn::ConnCtrl;
use salvo::http::StatusCode;
use salvo::{Request, Response};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// The body of an error answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorBody {
    /// What is wrong, for people.
    pub error: String,
}

/// Answers with a status and a JSON body of known length.
pub fn render_json(response: &mut Response, status: StatusCode, body: &impl Serialize) {
    let bytes = serde_json::to_vec(body).expect("answers have a JSON form");
    let content_type = salvo::http::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(salvo::http::header::CONTENT_TYPE, content_type);
    response.status_code(status).body(bytes);
}

/// Answers with a status and an [`ErrorBody`].
pub fn render_error(response: &mut Response, status: StatusCode, error: impl ToString) {
    render_json(
        response,
        status,
        &ErrorBody {
            error: error.to_string(),
        },
    );
}

/// Reads a JSON body of at most `max_bytes`.
///
/// # Errors
/// The status to answer with, and what is wrong.
pub async fn read_json<T: DeserializeOwned>(
    request: &mut Request,
    max_bytes: usize,
) -> Result<T, (StatusCode, String)> {
    let bytes = request
        .payload_with_max_size(max_bytes)
        .await
        .map_err(|error| {
            (
                StatusCode::PAYLOAD_TOO_LARGE,
                format!("unreadable body: {error}"),
            )
        })?;
    serde_json::from_slice(bytes)
        .map_err(|error| (StatusCode::BAD_REQUEST, format!("invalid JSON: {error}")))
}

/// Reads a query parameter, if it is there.
///
/// # Errors
/// What is wrong with the parameter.
pub fn query_value<T: FromStr>(request: &Request, name: &str) -> Result<Option<T>, String> {
    let Some(text) = request.queries().get(name) else {
        return Ok(None);
    };
    match text.parse() {
        Ok(value) => Ok(Some(value)),
        Err(_) => Err(format!(
            "query parameter {name} has the unreadable value {text:?}"
        )),
    }
}

/// The control of the request's connection, by which it can be cut.
#[must_use]
pub fn connection(request: &Request) -> Option<ConnCtrl> {
    request.extensions().get::<ConnCtrl>().cloned()
}
