//! A link between two processes that a test can cut: connections that come to one address are
//! passed on to another.

use std::net::SocketAddr;

use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// A link that passes on connections until it is cut.
pub struct Link {
    /// Where to connect.
    pub entrance: SocketAddr,
    is_cut: watch::Sender<bool>,
    task: actix_rt::task::JoinHandle<()>,
}

impl Link {
    /// Opens a link to `exit` on a free port.
    pub async fn open(exit: SocketAddr) -> Self {
        let (is_cut, seen) = watch::channel(false);
        let listener = TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a free port");
        let entrance = listener.local_addr().expect("a bound address");
        let task = actix_rt::spawn(pass_connections(listener, exit, seen));
        Self {
            entrance,
            is_cut,
            task,
        }
    }

    /// Cuts the link or mends it. Connections in progress end when it is cut, and new ones are
    /// accepted but not passed on, so that their callers wait.
    pub fn set_cut(&self, is_cut: bool) {
        self.is_cut.send_replace(is_cut);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn pass_connections(listener: TcpListener, exit: SocketAddr, cut: watch::Receiver<bool>) {
    while let Ok((near, _)) = listener.accept().await {
        actix_rt::spawn(pass_connection(near, exit, cut.clone()));
    }
}

async fn pass_connection(mut near: TcpStream, exit: SocketAddr, mut cut: watch::Receiver<bool>) {
    // The test that holds the other end of `cut` has ended when waiting fails.
    if cut.wait_for(|is_cut| !is_cut).await.is_err() {
        return;
    }
    let pass = async {
        let mut far = TcpStream::connect(exit).await?;
        copy_bidirectional(&mut near, &mut far).await
    };
    tokio::select! {
        _ = pass => {}
        _ = cut.wait_for(|is_cut| *is_cut) => {}
    }
}
