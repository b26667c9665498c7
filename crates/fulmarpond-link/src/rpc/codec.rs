//! JSON encoding of requests, responses and errors.
//!
//! The params of a call are the array `[to, params]`, where `to` is `null` in a request to an
//! entry. The method name selects the type of the request, so the content is decoded directly into
//! that type. A type tag inside the params would require buffering them to find the tag first.

use fulmarpond_core::link::{Envelope, LinkError, Request, Response};
use jsonrpsee::core::client::{Error as CallError, MiddlewareMethodResponse};
use jsonrpsee::types::error::{
    INVALID_PARAMS_CODE, INVALID_REQUEST_CODE, METHOD_NOT_FOUND_CODE, PARSE_ERROR_CODE,
};
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned, Params, ResponsePayload};
use serde_json::value::{RawValue, to_raw_value};

/// The error code of a request whose responder was dropped. The request may have taken effect.
pub(super) const UNANSWERED_CODE: i32 = -32050;
/// The error code of a request to a server that is stopping. It had no effect.
pub(super) const STOPPING_CODE: i32 = -32051;

/// An upper bound for the size of a JSON-RPC message without its params or result.
pub(super) const MESSAGE_OVERHEAD_BYTES: u32 = 1024;

/// The encoded params of a call.
pub(super) struct EncodedParams(Box<RawValue>);

impl EncodedParams {
    /// Returns the length in bytes.
    pub(super) fn len(&self) -> usize {
        self.0.get().len()
    }

    pub(super) fn as_raw(&self) -> &RawValue {
        &self.0
    }
}

macro_rules! methods {
    ($($method:literal => $variant:ident,)*) => {
        /// Encodes the params of a call.
        pub(super) fn encode(envelope: &Envelope) -> serde_json::Result<EncodedParams> {
            let to = &envelope.to;
            match &envelope.request {
                $(Request::$variant(params) => to_raw_value(&(to, params)),)*
            }
            .map(EncodedParams)
        }

        /// Decodes the params of a call of `method`.
        pub(super) fn decode(
            method: &str,
            params: &Params<'_>,
        ) -> std::result::Result<Envelope, ErrorObjectOwned> {
            match method {
                $($method => {
                    let (to, params) = params.parse()?;
                    Ok(Envelope { to, request: Request::$variant(params) })
                })*
                _ => Err(ErrorCode::MethodNotFound.into()),
            }
        }
    };
}

methods! {
    "announce" => Announce,
    "leave" => Leave,
    "submit" => Submit,
    "fetch" => Fetch,
    "status" => Status,
    "events" => Events,
    "cancel" => Cancel,
    "run" => Run,
    "reserve" => Reserve,
    "withdraw" => Withdraw,
    "ask" => Ask,
    "seal" => Seal,
    "handover" => Handover,
}

/// Returns the error of a request whose responder was dropped.
pub(super) fn unanswered_error() -> ErrorObjectOwned {
    ErrorObjectOwned::borrowed(UNANSWERED_CODE, "the request has no response", None)
}

/// Returns the error of a request to a server that is stopping.
pub(super) fn stopping_error() -> ErrorObjectOwned {
    ErrorObjectOwned::borrowed(STOPPING_CODE, "the server is stopping", None)
}

/// Decodes the outcome of a call that was passed to a connection.
///
/// Only errors that a server returns before it calls its handler map to [`LinkError::Rejected`].
/// If the response cannot be decoded, the handler has already run and the request may have taken
/// effect, so the call is [`LinkError::Lost`].
pub(super) fn decode_outcome(
    result: std::result::Result<MiddlewareMethodResponse, CallError>,
) -> std::result::Result<Response, LinkError> {
    let response = result.map_err(|_| LinkError::Lost)?;
    match response.into_response().into_inner().payload {
        ResponsePayload::Success(result) => {
            serde_json::from_str(result.get()).map_err(|_| LinkError::Lost)
        }
        ResponsePayload::Error(error) => Err(match error.code() {
            PARSE_ERROR_CODE
            | INVALID_REQUEST_CODE
            | METHOD_NOT_FOUND_CODE
            | INVALID_PARAMS_CODE
            | STOPPING_CODE => LinkError::Rejected,
            _ => LinkError::Lost,
        }),
    }
}
