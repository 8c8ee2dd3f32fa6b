//! Connections to back ends whose end is never taken for the end of an answer.
//!
//! The HTTP client library ends a body without an error when the connection closes between two of
//! its chunks, so that a cut answer would pass for a whole one. These connections report their end
//! as an error instead; an answer that is whole has said so before. An answer whose only end is
//! that of its connection cannot be told from a cut one, and fails.

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

/// Whether a failed request was certainly not sent. The HTTP client library uses its connect error
/// `Disconnected` for connections that closed after the request had been sent, too.
pub fn never_sent(error: &SendRequestError) -> bool {
    match error {
        SendRequestError::Connect(cause) => !matches!(cause, ClientConnectError::Disconnected),
        _ => false,
    }
}

/// A connector that gives up after `connect_timeout` and holds at most `max_connections`
/// connections, or any number if that is zero.
pub fn connector(
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

/// A connection that reports its end as an error.
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
