//! The JSON form of requests, responses and errors.
//!
//! The params of a call are the array `[to, params]`, where `to` is `null` in a request to an
//! entry. The content of a request is decoded straight into its type, since the method selects
//! it; a tag inside the params would have to be found first.

use fulmarpond_core::link::{Envelope, LinkError, Request, Response};
use jsonrpsee::core::client::Error as CallError;
use jsonrpsee::core::traits::ToRpcParams;
use jsonrpsee::types::error::{
    INVALID_PARAMS_CODE, INVALID_REQUEST_CODE, METHOD_NOT_FOUND_CODE, PARSE_ERROR_CODE,
};
use jsonrpsee::types::{ErrorCode, ErrorObjectOwned, Params};
use serde_json::value::{RawValue, to_raw_value};

/// The error code of a request whose responder was dropped. Its fate is not known.
pub(super) const UNANSWERED_CODE: i32 = -32050;
/// The error code of a request to a server that is stopping. It had no effect.
pub(super) const STOPPING_CODE: i32 = -32051;

/// The bytes of a message beside its params or result, rounded up generously.
pub(super) const MESSAGE_OVERHEAD: u32 = 1024;

/// The encoded params of a call.
pub(super) struct Encoded(Box<RawValue>);

impl Encoded {
    /// Returns the length in bytes.
    pub(super) fn len(&self) -> usize {
        self.0.get().len()
    }
}

impl ToRpcParams for Encoded {
    fn to_rpc_params(self) -> serde_json::Result<Option<Box<RawValue>>> {
        Ok(Some(self.0))
    }
}

macro_rules! methods {
    ($($method:literal => $variant:ident,)*) => {
        /// Encodes the params of a call.
        pub(super) fn encode(envelope: &Envelope) -> serde_json::Result<Encoded> {
            let to = &envelope.to;
            match &envelope.request {
                $(Request::$variant(params) => to_raw_value(&(to, params)),)*
            }
            .map(Encoded)
        }

        /// Decodes the params of a call.
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
pub(super) fn unanswered() -> ErrorObjectOwned {
    ErrorObjectOwned::borrowed(UNANSWERED_CODE, "the request has no response", None)
}

/// Returns the error of a request to a server that is stopping.
pub(super) fn stopping() -> ErrorObjectOwned {
    ErrorObjectOwned::borrowed(STOPPING_CODE, "the server is stopping", None)
}

/// Maps the outcome of a call that was handed to a connection.
///
/// Only the errors that a server returns before its handler sees the request count as rejected.
/// A response that cannot be decoded comes after the handler, so the fate is unknown.
pub(super) fn outcome(
    result: std::result::Result<Response, CallError>,
) -> std::result::Result<Response, LinkError> {
    result.map_err(|error| match error {
        CallError::Call(error) => match error.code() {
            PARSE_ERROR_CODE
            | INVALID_REQUEST_CODE
            | METHOD_NOT_FOUND_CODE
            | INVALID_PARAMS_CODE
            | STOPPING_CODE => LinkError::Rejected,
            _ => LinkError::Lost,
        },
        _ => LinkError::Lost,
    })
}
