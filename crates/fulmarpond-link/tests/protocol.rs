//! Tests of the JSON-RPC protocol against the client and the server of the `jsonrpsee` library.

mod common;

use std::net::SocketAddr;

use common::{call, client, echo_server, run_request, runtime};
use fulmarpond_core::link::{LinkError, Request};
use fulmarpond_link::ServeOptions;
use jsonrpsee::RpcModule;
use jsonrpsee::client_transport::ws::{Url, WsTransportClientBuilder};
use jsonrpsee::core::client::async_client::ClientBuilder;
use jsonrpsee::core::client::{ClientT, Error};
use jsonrpsee::core::params::ArrayParams;
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::types::ErrorObjectOwned;
use serde_json::{Value, json};

fn tokio_runtime() -> tokio::runtime::Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("the runtime starts")
}

/// Starts a server whose method `run` returns `result`.
async fn serve_result(result: Result<Value, ErrorObjectOwned>) -> (SocketAddr, ServerHandle) {
    let server = Server::builder()
        .build(common::any_port())
        .await
        .expect("the server listens");
    let addr = server.local_addr().expect("a bound port");
    let mut module = RpcModule::new(result);
    module
        .register_method("run", |_, result, _| result.clone())
        .expect("one method");
    (addr, server.start(module))
}

/// Guards against undecodable params that reach the handler, and against a method that is not
/// registered. Sends params of the wrong type to every method, and calls a method that does not
/// exist.
#[test]
fn undecodable_params_return_invalid_params() {
    let runtime = runtime();
    let server = echo_server(&runtime, ServeOptions::default());
    let url = Url::parse(&format!("ws://{}", server.addr())).expect("a valid URL");

    tokio_runtime().block_on(async {
        let (sender, receiver) = WsTransportClientBuilder::default()
            .build(url)
            .await
            .expect("a connection");
        let client = ClientBuilder::new().build_with_tokio(sender, receiver);
        for method in Request::METHODS {
            let mut params = ArrayParams::new();
            params.insert("saga-1~7").expect("valid JSON");
            params.insert(17).expect("valid JSON");
            let result: Result<Value, Error> = client.request(method, params).await;
            let Err(Error::Call(error)) = result else {
                panic!("{method}: {result:?}");
            };
            assert_eq!(error.code(), -32602, "{method}: {error}");
        }
        let unknown: Result<Value, Error> = client.request("jump", ArrayParams::new()).await;
        let Err(Error::Call(error)) = unknown else {
            panic!("{unknown:?}");
        };
        assert_eq!(error.code(), -32601);
    });

    assert_eq!(runtime.stats().requests(), 0);
    assert_eq!(runtime.stats().undecodable(), Request::METHODS.len() as u64);
}

/// Guards against a call being reported as rejected although it may have taken effect. The server
/// returns each kind of error; only errors from before the handler runs may be reported as
/// rejected.
#[test]
fn server_errors_map_to_rejected_or_lost() {
    struct Case {
        result: Result<Value, ErrorObjectOwned>,
        error: LinkError,
    }
    let failed = |code| Err(ErrorObjectOwned::borrowed(code, "failed", None));
    let cases = [
        Case {
            result: failed(-32600),
            error: LinkError::Rejected,
        },
        Case {
            result: failed(-32601),
            error: LinkError::Rejected,
        },
        Case {
            result: failed(-32602),
            error: LinkError::Rejected,
        },
        Case {
            result: failed(-32603),
            error: LinkError::Lost,
        },
        Case {
            result: failed(-32008),
            error: LinkError::Lost,
        },
        Case {
            result: failed(1),
            error: LinkError::Lost,
        },
        Case {
            result: Ok(json!({"kind": "unheard-of"})),
            error: LinkError::Lost,
        },
        Case {
            result: Ok(Value::Null),
            error: LinkError::Lost,
        },
    ];
    let tokio_runtime = tokio_runtime();
    let runtime = runtime();
    for (index, case) in cases.into_iter().enumerate() {
        let (addr, _handle) = tokio_runtime.block_on(serve_result(case.result));
        let outcome = call(&client(&runtime), addr, run_request(1, json!(1)));
        assert_eq!(outcome, Err(case.error), "case {index}");
    }
}
