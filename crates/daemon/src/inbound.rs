//! Parses requests: path, headers and body, each with a size limit.

use std::sync::Arc;

use config::{Index, Operation, Service};
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TRANSFER_ENCODING, UPGRADE};
use http::{HeaderMap, Method, StatusCode};
use model::{OperationKey, ServiceKey};
use wire::{header, parse};
use xitca_web::body::RequestBody;
use xitca_web::http::{Request, RequestExt, Version};

use crate::body::{self, BodyError, Framing, ReceivedBody};
use crate::listen::Connection;
use crate::reply::{self, Answer};

/// Largest request body that is buffered, so that the call can be sent again.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// Largest request body.
const MAX_BODY_BYTES: u64 = 64 * 1024 * 1024;
/// Maximum length of the path with its query.
const MAX_PATH_BYTES: usize = 8 * 1024;
/// Maximum size of all header names and values together.
const MAX_HEADER_BYTES: usize = 32 * 1024;

/// Headers that apply to one connection only.
const HOP_BY_HOP_HEADERS: [http::HeaderName; 4] = [CONNECTION, TRANSFER_ENCODING, UPGRADE, HOST];

/// A request that names a known operation.
pub(crate) struct InboundRequest {
    pub(crate) index: Arc<Index>,
    pub(crate) service: ServiceKey,
    pub(crate) operation: OperationKey,
    pub(crate) method: Method,
    /// Path and query that are sent to the target.
    pub(crate) target_path: String,
    /// Path and query that are sent to another daemon: as received, with the service.
    pub(crate) full_path: String,
    /// All headers as received.
    pub(crate) headers: HeaderMap,
    pub(crate) body: ReceivedBody,
    pub(crate) connection: Arc<Connection>,
}

impl InboundRequest {
    /// Reads a request. Refuses one that names no known operation or exceeds a limit.
    pub(crate) async fn read(
        index: &Arc<Index>,
        connection: &Arc<Connection>,
        req: Request<RequestExt<RequestBody>>,
    ) -> Result<Self, Answer> {
        let (parts, ext) = req.into_parts();
        if parts.version != Version::HTTP_11 {
            // Without chunked encoding, a truncated answer can't be told from a complete one.
            return Err(reply::invalid(
                StatusCode::HTTP_VERSION_NOT_SUPPORTED,
                "allowed: HTTP/1.1",
            ));
        }
        check_limits(&parts.uri, &parts.headers)?;
        let full_path = parts
            .uri
            .path_and_query()
            .map_or("/", |p| p.as_str())
            .to_owned();
        let (service, operation, target_path) = resolve_path(index, &full_path)?;
        let framing = framing(&parts.headers)?;
        let (_, body) = ext.replace_body(());
        let body = body::read(
            body,
            framing,
            connection,
            MAX_BUFFERED_BODY_BYTES,
            MAX_BODY_BYTES,
        )
        .await
        .map_err(body_error)?;
        Ok(InboundRequest {
            index: Arc::clone(index),
            service,
            operation,
            method: parts.method,
            target_path,
            full_path,
            headers: parts.headers,
            body,
            connection: Arc::clone(connection),
        })
    }

    /// The called operation.
    pub(crate) fn operation(&self) -> &Operation {
        self.index.operation(self.operation)
    }

    /// The called service.
    pub(crate) fn service(&self) -> &Service {
        self.index.service(self.service)
    }

    /// Headers to forward: without berylhead's own and those of the connection.
    pub(crate) fn end_to_end_headers(&self) -> HeaderMap {
        end_to_end(&self.headers)
    }

    /// The caller's idempotency key.
    pub(crate) fn idempotency_key(&self) -> Result<Option<&str>, Answer> {
        parse::text(&self.headers, &header::IDEMPOTENCY_KEY).map_err(|e| invalid_header(&e))
    }

    /// The ticket as received.
    pub(crate) fn ticket(&self) -> Result<Option<&str>, Answer> {
        parse::text(&self.headers, &header::TICKET).map_err(|e| invalid_header(&e))
    }
}

/// Copies the headers to forward.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let mut copied = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let is_own = name.as_str().starts_with(header::PREFIX);
        if !is_own
            && !HOP_BY_HOP_HEADERS.contains(name)
            && name != CONTENT_LENGTH
            && name != "keep-alive"
        {
            copied.append(name.clone(), value.clone());
        }
    }
    copied
}

/// The answer to a request with an invalid header.
pub(crate) fn invalid_header(error: &wire::Error) -> Answer {
    reply::invalid(StatusCode::BAD_REQUEST, &error.to_string())
}

/// The declared length of a body.
pub(crate) fn content_length(headers: &HeaderMap) -> Result<Option<u64>, Answer> {
    parse::number(headers, &CONTENT_LENGTH).map_err(|e| invalid_header(&e))
}

fn framing(headers: &HeaderMap) -> Result<Framing, Answer> {
    if headers.contains_key(TRANSFER_ENCODING) {
        return Ok(Framing::Chunked);
    }
    let length = content_length(headers)?;
    Ok(Framing::Length(length.unwrap_or(0)))
}

fn check_limits(uri: &http::Uri, headers: &HeaderMap) -> Result<(), Answer> {
    if uri
        .path_and_query()
        .is_some_and(|p| p.as_str().len() > MAX_PATH_BYTES)
    {
        return Err(reply::invalid(StatusCode::URI_TOO_LONG, "path over 8 KiB"));
    }
    let bytes: usize = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len())
        .sum();
    if bytes > MAX_HEADER_BYTES {
        return Err(reply::invalid(
            StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            "headers over 32 KiB",
        ));
    }
    let is_chunked =
        |coding: &http::HeaderValue| coding.as_bytes().eq_ignore_ascii_case(b"chunked");
    if !headers.get_all(TRANSFER_ENCODING).iter().all(is_chunked) {
        return Err(reply::invalid(
            StatusCode::BAD_REQUEST,
            "header transfer-encoding: allowed: chunked",
        ));
    }
    if headers.contains_key(TRANSFER_ENCODING) && headers.contains_key(CONTENT_LENGTH) {
        return Err(reply::invalid(
            StatusCode::BAD_REQUEST,
            "both content-length and transfer-encoding",
        ));
    }
    Ok(())
}

/// Splits `/service/operation…` into the keys of both and the path that the target gets.
fn resolve_path(
    index: &Index,
    full_path: &str,
) -> Result<(ServiceKey, OperationKey, String), Answer> {
    let unknown = |what: &str| {
        reply::invalid(
            StatusCode::NOT_FOUND,
            &format!("unknown {what}; allowed: /service/operation"),
        )
    };
    let end = full_path.find('?').unwrap_or(full_path.len());
    let mut segments = full_path[..end].splitn(4, '/').skip(1);
    let service_name = segments.next().unwrap_or_default();
    let operation_name = segments.next().unwrap_or_default();
    let service = index
        .service_key(service_name)
        .ok_or_else(|| unknown("service"))?;
    let operation = index
        .operation_key(service, operation_name)
        .ok_or_else(|| unknown("operation"))?;
    let target_path = full_path[1 + service_name.len()..].to_owned();
    Ok((service, operation, target_path))
}

fn body_error(error: BodyError) -> Answer {
    match error {
        BodyError::TooLarge => reply::invalid(StatusCode::PAYLOAD_TOO_LARGE, "body over 64 MiB"),
        BodyError::Sender | BodyError::Receiver | BodyError::Deadline => {
            reply::invalid(StatusCode::BAD_REQUEST, "body broken off")
        }
    }
}
