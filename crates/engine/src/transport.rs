//! Connections to back ends that report their closing as an error, so that it is never mistaken for
//! the end of an answer.
//!
//! The HTTP client library ends a body without an error when the connection is closed between two
//! of its chunks, so that a truncated answer would be accepted as complete. A complete answer
//! declares its length or its end before the connection is closed. An answer whose end is marked only
//! by the closing of the connection cannot be distinguished from a truncated one, and fails.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_rt::net::{ActixStream, Ready, TcpStream};
use actix_service::{Service, ServiceExt};
use actix_tls::connect::{ConnectError, ConnectInfo, Connection, Connector as TcpConnector};
use awc::error::{ConnectError as ClientConnectError, SendRequestError};
use awc::http::Uri;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Returns whether a failed request was certainly not sent. The connect error `Disconnected` does
/// not show this: the HTTP client library also uses it for connections that were closed after the
/// request had been sent.
pub fn never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(cause) => !matches!(cause, ClientConnectError::Disconnected),
        _ => false,
    }
}

/// Returns a connector whose attempts to connect fail after `connect_timeout`. It holds at most
/// `max_connections` connections, or any number if that is zero.
pub fn build_connector(
    connect_timeout: Duration,
    max_connections: usize,
) -> awc::Connector<
    impl Service<
            ConnectInfo<Uri>,
            Response = Connection<Uri, BackendConnection>,
            Error = ConnectError,
        > + Clone,
> {
    let connect = TcpConnector::default().service();
    let connect = connect.map(|connection: Connection<Uri, TcpStream>| {
        let (stream, uri) = connection.into_parts();
        Connection::new(uri, BackendConnection { stream })
    });
    awc::Connector::new()
        .connector(connect)
        .timeout(connect_timeout)
        .limit(max_connections)
}

/// A connection that reports its closing as an error.
#[derive(Debug)]
pub struct BackendConnection {
    stream: TcpStream,
}

impl AsyncRead for BackendConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        match polled {
            Poll::Ready(Ok(())) if buffer.filled().len() == before && buffer.remaining() > 0 => {
                let message = "the back end closed the connection";
                let error = io::Error::new(io::ErrorKind::UnexpectedEof, message);
                Poll::Ready(Err(error))
            }
            polled => polled,
        }
    }
}

impl AsyncWrite for BackendConnection {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl ActixStream for BackendConnection {
    fn poll_read_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.stream, context)
    }

    fn poll_write_ready(&self, context: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.stream, context)
    }
}
