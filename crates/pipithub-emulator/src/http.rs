//! Accept loop of the emulated HTTP services.

use std::error::Error;

use hyper::body::{Body, Incoming};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tracing::debug;

use crate::accept::next_stream;

type BoxedError = Box<dyn Error + Send + Sync>;

/// Serves HTTP/1 on all connections of a listener, until the listener becomes unusable. All connections end when the
/// returned future is dropped, as those of a killed process do.
pub(crate) async fn serve<H, F, E, B>(listener: TcpListener, handle: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Result<Response<B>, E>> + Send + 'static,
    E: Into<BoxedError> + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<BoxedError>,
{
    let mut connections = JoinSet::new();
    while let Some(stream) = next_stream(&listener).await {
        let _ = stream.set_nodelay(true);
        while connections.try_join_next().is_some() {}
        let handle = handle.clone();
        connections.spawn(async move {
            let served = hyper::server::conn::http1::Builder::new()
                .serve_connection(TokioIo::new(stream), service_fn(handle))
                .await;
            if let Err(error) = served {
                debug!(%error, "connection ended");
            }
        });
    }
}
