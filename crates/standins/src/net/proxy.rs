//! A loopback proxy that harms the connections through it: delays, resets, cuts one way or silences them.

use std::io::Result;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::shared_link::SharedLink;

/// Bytes that are passed on at once.
const PIECE: usize = 16 * 1024;

/// What the proxy does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Harm {
    /// Passes everything on.
    #[default]
    None,
    /// Passes each piece on this much later.
    Delay(Duration),
    /// Passes what clients send; what servers answer waits.
    OneWay,
    /// Passes nothing; connections stay open.
    Silent,
    /// Closes connections with a reset, new ones too.
    Reset,
}

/// A running proxy in front of one address.
#[derive(Debug)]
pub struct Proxy {
    address: SocketAddr,
    harm: watch::Sender<Harm>,
    accepting: JoinHandle<()>,
}

impl Drop for Proxy {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

impl Proxy {
    /// Starts a proxy on `listen` in front of `server`.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start(listen: SocketAddr, server: SocketAddr) -> Result<Self> {
        Self::start_over(listen, server, SharedLink::default()).await
    }

    /// As [`Self::start`]; what the server answers comes over a link that others share.
    ///
    /// # Errors
    /// When the address can't be bound.
    pub async fn start_over(
        listen: SocketAddr,
        server: SocketAddr,
        link: SharedLink,
    ) -> Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (harm, harms) = watch::channel(Harm::None);
        let accepting = tokio::spawn(async move {
            while let Ok((client, _)) = listener.accept().await {
                tokio::spawn(pass_on(client, server, harms.clone(), link.clone()));
            }
        });
        Ok(Self {
            address,
            harm,
            accepting,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn local_addr(&self) -> SocketAddr {
        self.address
    }

    /// Does this to all connections from now on.
    pub fn set(&self, harm: Harm) {
        self.harm.send_replace(harm);
    }
}

/// One connection, until either side ends it or it is reset.
async fn pass_on(
    client: TcpStream,
    server: SocketAddr,
    harms: watch::Receiver<Harm>,
    link: SharedLink,
) {
    let Ok(server) = TcpStream::connect(server).await else {
        return;
    };
    let _nodelay = (client.set_nodelay(true), server.set_nodelay(true));
    let mut resets = harms.clone();
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::select! {
        () = copy(from_client, to_server, harms.clone(), None) => {}
        () = copy(from_server, to_client, harms, Some(link)) => {}
        _reset = resets.wait_for(|harm| *harm == Harm::Reset) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut harms: watch::Receiver<Harm>,
    answers_over: Option<SharedLink>,
) {
    let mut buffer = vec![0; PIECE];
    while let Ok(length @ 1..) = from.read(&mut buffer).await {
        let passes = |harm: &Harm| {
            *harm != Harm::Silent && !(answers_over.is_some() && *harm == Harm::OneWay)
        };
        let Ok(harm) = harms.wait_for(passes).await.map(|harm| *harm) else {
            return;
        };
        if let Harm::Delay(time) = harm {
            tokio::time::sleep(time).await;
        }
        if let Some(link) = &answers_over {
            link.carry(length).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
