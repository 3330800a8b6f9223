//! Network endpoint of a process and its connections to other processes.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, RwLock};
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use oliveworks_runtime::metrics::{Direction, Metrics};
use quinn::{
    ClientConfig, Connection, Endpoint, EndpointConfig, ServerConfig, TransportConfig, VarInt,
};
use quinn_proto::HashedConnectionIdGenerator;
use rustls_pki_types::CertificateDer;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use crate::frame::{Reader, Writer};
use crate::keys::{LoadedKeys, TlsConfig, process_name};
use crate::wire::{Datagram, Question, Reply};

/// Time without traffic after which a connection is closed, in milliseconds.
const IDLE_TIMEOUT_MS: u32 = 15_000;
/// Timeout of opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two checks of the key files for changes.
const KEY_RELOAD_INTERVAL: Duration = Duration::from_secs(5);
/// Maximum number of concurrent streams that a peer may open. Further streams wait. The transport
/// allocates memory for all streams when a connection opens: 4,096 streams cost 0.7 MB per
/// connection.
const STREAMS_MAX: u32 = 512;
/// Maximum amount of unread data in flight on one stream, in bytes. Limits the memory that a slow
/// caller uses.
const STREAM_WINDOW: u32 = 64 << 10;

/// Network endpoint of a process.
pub struct Net {
    endpoint: Endpoint,
    client: RwLock<ClientConfig>,
    peers: Mutex<HashMap<String, Connection>>,
    dialing: Mutex<HashSet<String>>,
    open_connections: Mutex<Vec<Connection>>,
    closed_bytes: (AtomicU64, AtomicU64),
    new_connections: UnboundedSender<(String, Connection)>,
    metrics: Arc<Metrics>,
    tls: TlsConfig,
    contents: Mutex<[Vec<u8>; 3]>,
    name: String,
}

fn transport() -> Arc<TransportConfig> {
    let mut config = TransportConfig::default();
    config
        .max_idle_timeout(Some(VarInt::from_u32(IDLE_TIMEOUT_MS).into()))
        .max_concurrent_bidi_streams(STREAMS_MAX.into())
        .max_concurrent_uni_streams(0u8.into())
        .stream_receive_window(STREAM_WINDOW.into())
        .datagram_receive_buffer_size(Some(64 << 10))
        .datagram_send_buffer_size(64 << 10)
        // Probes for larger packets would cost traffic on connections with little load.
        .mtu_discovery_config(None);
    Arc::new(config)
}

/// Opens the socket. The key for stateless resets is derived from the private key of the process,
/// so that a restarted process resets the connections of its earlier run. Otherwise the peers would
/// send to those connections without effect until the idle timeout.
fn bind(at: SocketAddr, server: ServerConfig, loaded: &LoadedKeys) -> anyhow::Result<Endpoint> {
    let (reset_key, id_key) = loaded.reset_and_id_keys();
    let mut config = EndpointConfig::new(reset_key);
    // Packets whose connection ids were not generated with this key are dropped without a reset.
    config.cid_generator(move || Box::new(HashedConnectionIdGenerator::from_key(id_key)));
    let socket = std::net::UdpSocket::bind(at)?;
    let runtime = quinn::default_runtime().context("no async runtime is available")?;
    Ok(Endpoint::new(config, Some(server), socket, runtime)?)
}

impl Net {
    /// Opens the endpoint. Must be called within the async runtime that the endpoint uses.
    ///
    /// The receiver yields every connection with the name of its peer, whichever side opened the
    /// connection. The owner of the receiver must read the streams and datagrams of the
    /// connections.
    ///
    /// # Errors
    /// Returns an error if the keys cannot be read or the address is in use.
    pub fn open(
        at: SocketAddr,
        tls: TlsConfig,
        metrics: Arc<Metrics>,
    ) -> anyhow::Result<(Net, UnboundedReceiver<(String, Connection)>)> {
        let loaded = tls.load()?;
        let mut server = ServerConfig::with_crypto(Arc::new(loaded.server()?));
        server.transport_config(transport());
        let mut client = ClientConfig::new(Arc::new(loaded.client()?));
        client.transport_config(transport());
        let endpoint = bind(at, server, &loaded).with_context(|| format!("peer: {at}"))?;
        let (new_connections, connections) = unbounded_channel();
        let net = Net {
            endpoint,
            client: RwLock::new(client),
            peers: Mutex::default(),
            dialing: Mutex::default(),
            open_connections: Mutex::default(),
            closed_bytes: Default::default(),
            new_connections,
            metrics,
            tls,
            contents: Mutex::new(loaded.contents),
            name: loaded.name,
        };
        Ok((net, connections))
    }

    /// Returns the name of this process, from its certificate.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the address that the endpoint listens on.
    ///
    /// # Errors
    /// Returns an error if the socket is closed.
    pub fn local_addr(&self) -> anyhow::Result<SocketAddr> {
        Ok(self.endpoint.local_addr()?)
    }

    /// Reloads the keys if their files changed. Only new connections use the new keys. Returns
    /// whether the keys were replaced.
    ///
    /// # Errors
    /// Returns an error if the new keys cannot be used. The old keys then stay in use.
    pub fn reload(&self) -> anyhow::Result<bool> {
        let loaded = self.tls.load()?;
        if let Ok(contents) = self.contents.lock()
            && *contents == loaded.contents
        {
            return Ok(false);
        }
        let mut server = ServerConfig::with_crypto(Arc::new(loaded.server()?));
        server.transport_config(transport());
        let mut client = ClientConfig::new(Arc::new(loaded.client()?));
        client.transport_config(transport());
        self.endpoint.set_server_config(Some(server));
        if let Ok(mut current) = self.client.write() {
            *current = client;
        }
        if let Ok(mut contents) = self.contents.lock() {
            *contents = loaded.contents;
        }
        Ok(true)
    }

    /// Checks the key files for changes at regular intervals and reloads them. Never returns.
    pub async fn keep_keys_current(self: Arc<Net>) {
        loop {
            tokio::time::sleep(KEY_RELOAD_INTERVAL).await;
            match self.reload() {
                Ok(true) => log::info!("Reloaded the TLS keys."),
                Ok(false) => {}
                Err(e) => {
                    log::warn!("Reloading the TLS keys failed; the old keys stay in use: {e:#}.")
                }
            }
        }
    }

    /// Accepts connections until the endpoint is closed.
    pub async fn accept(self: Arc<Net>) {
        while let Some(incoming) = self.endpoint.accept().await {
            let net = self.clone();
            tokio::spawn(async move {
                let handshake = async {
                    let connection = incoming.await.context("handshake")?;
                    anyhow::Ok((peer_name(&connection)?, connection))
                };
                match handshake.await {
                    Ok((name, connection)) => net.register(&name, connection),
                    Err(e) => log::warn!("Rejected an incoming connection: {e:#}."),
                }
            });
        }
    }

    /// Returns the bytes sent and received in UDP datagrams, including the overhead of the
    /// transport.
    pub fn udp_bytes(&self) -> (u64, u64) {
        let closed_bytes = (
            self.closed_bytes.0.load(Ordering::Relaxed),
            self.closed_bytes.1.load(Ordering::Relaxed),
        );
        let Ok(open_connections) = self.open_connections.lock() else { return closed_bytes };
        open_connections
            .iter()
            .map(|c| c.stats())
            .fold(closed_bytes, |(tx, rx), s| (tx + s.udp_tx.bytes, rx + s.udp_rx.bytes))
    }

    /// Removes closed connections and adds their bytes to the totals.
    fn remove_closed(&self) {
        let Ok(mut open_connections) = self.open_connections.lock() else { return };
        open_connections.retain(|connection| {
            let open = connection.close_reason().is_none();
            if !open {
                let stats = connection.stats();
                self.closed_bytes.0.fetch_add(stats.udp_tx.bytes, Ordering::Relaxed);
                self.closed_bytes.1.fetch_add(stats.udp_rx.bytes, Ordering::Relaxed);
            }
            open
        });
    }

    fn register(&self, name: &str, connection: Connection) {
        self.remove_closed();
        if let Ok(mut open_connections) = self.open_connections.lock() {
            open_connections.push(connection.clone());
        }
        if let Ok(mut peers) = self.peers.lock() {
            peers.retain(|_, c| c.close_reason().is_none());
            peers.insert(name.to_owned(), connection.clone());
        }
        // The receiver is dropped only when the process stops.
        let _ = self.new_connections.send((name.to_owned(), connection));
    }

    /// Returns a connection to a process. Opens a new connection only if none is in use.
    ///
    /// # Errors
    /// Returns an error if the process cannot be reached in time or its certificate has another
    /// name.
    pub async fn connect(&self, name: &str, at: SocketAddr) -> anyhow::Result<Connection> {
        if let Some(connection) = self.existing(name, at) {
            return Ok(connection);
        }
        let client = match self.client.read() {
            Ok(client) => client.clone(),
            Err(_) => bail!("the keys are being replaced"),
        };
        let connecting = self.endpoint.connect_with(client, at, name)?;
        let connection = tokio::time::timeout(CONNECT_TIMEOUT, connecting)
            .await
            .with_context(|| format!("{name} at {at} does not answer"))?
            .with_context(|| format!("{name} at {at}"))?;
        self.register(name, connection.clone());
        Ok(connection)
    }

    fn existing(&self, name: &str, at: SocketAddr) -> Option<Connection> {
        let peers = self.peers.lock().ok()?;
        let connection = peers.get(name)?;
        let is_usable = connection.close_reason().is_none() && connection.remote_address() == at;
        is_usable.then(|| connection.clone())
    }

    /// Stops using the connection to a process that did not answer, so that the next attempt opens
    /// a new connection.
    pub fn discard_connection(&self, name: &str) {
        if let Ok(mut peers) = self.peers.lock() {
            peers.remove(name);
        }
    }

    /// Opens a stream and sends a question on it. The caller may send further frames and reads the
    /// replies.
    ///
    /// # Errors
    /// Returns an error if the process cannot be reached.
    pub async fn send_question(
        &self,
        name: &str,
        at: SocketAddr,
        question: &Question,
    ) -> anyhow::Result<(Writer, Reader)> {
        let connection = self.connect(name, at).await?;
        let (send, recv) = connection.open_bi().await.context("opening a stream")?;
        let mut writer = Writer::new(send, self.metrics.clone());
        writer.send(question).await?;
        Ok((writer, Reader::new(recv, self.metrics.clone())))
    }

    /// Sends a question and returns its single reply.
    ///
    /// # Errors
    /// Returns an error if no reply is received in time.
    pub async fn ask(
        &self,
        name: &str,
        at: SocketAddr,
        question: &Question,
        timeout: Duration,
    ) -> anyhow::Result<Reply> {
        let exchange = async {
            let (writer, mut reader) = self.send_question(name, at, question).await?;
            writer.finish();
            reader.next::<Reply>().await?.context("no reply")
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(reply) => reply,
            Err(_) => {
                self.discard_connection(name);
                bail!("{name} at {at} does not reply")
            }
        }
    }

    /// Sends a datagram to a process over the connection in use. If there is no connection, drops
    /// the datagram and opens a connection in the background.
    pub fn send_datagram(self: &Arc<Net>, name: &str, at: SocketAddr, datagram: &Datagram) {
        let Some(connection) = self.existing(name, at) else {
            self.connect_in_background(name, at);
            return;
        };
        let Ok(bytes) = postcard::to_stdvec(datagram) else { return };
        self.metrics.message(Direction::Out, "lease", bytes.len());
        // A lost datagram does no harm, because the lease protocol repeats its messages.
        let _ = connection.send_datagram(Bytes::from(bytes));
    }

    /// Opens a connection in the background, unless an attempt is already in progress.
    fn connect_in_background(self: &Arc<Net>, name: &str, at: SocketAddr) {
        let is_first = self.dialing.lock().is_ok_and(|mut d| d.insert(name.to_owned()));
        if !is_first {
            return;
        }
        let (net, name) = (self.clone(), name.to_owned());
        tokio::spawn(async move {
            if let Err(e) = net.connect(&name, at).await {
                log::debug!("Connecting to {name} failed: {e:#}.");
            }
            if let Ok(mut dialing) = net.dialing.lock() {
                dialing.remove(&name);
            }
        });
    }

    /// Returns the next datagram of a connection, or `None` if the datagram cannot be decoded.
    ///
    /// # Errors
    /// Returns an error if the connection ended.
    pub async fn read_datagram(&self, connection: &Connection) -> anyhow::Result<Option<Datagram>> {
        let bytes = connection.read_datagram().await?;
        self.metrics.message(Direction::In, "lease", bytes.len());
        Ok(postcard::from_bytes(&bytes).ok())
    }

    /// Returns the writer and the reader of frames for an accepted stream.
    pub fn framed(&self, send: quinn::SendStream, recv: quinn::RecvStream) -> (Writer, Reader) {
        (Writer::new(send, self.metrics.clone()), Reader::new(recv, self.metrics.clone()))
    }

    /// Closes all connections. Waits at most 300 ms for the peers to be notified.
    pub async fn close(&self) {
        self.endpoint.close(VarInt::from_u32(0), b"stopping");
        let _ = tokio::time::timeout(Duration::from_millis(300), self.endpoint.wait_idle()).await;
    }
}

/// Returns the process name in a peer's certificate.
fn peer_name(connection: &Connection) -> anyhow::Result<String> {
    let identity = connection.peer_identity().context("the peer showed no certificate")?;
    let Ok(chain) = identity.downcast::<Vec<CertificateDer<'static>>>() else {
        bail!("the peer showed no certificate");
    };
    process_name(chain.first().context("the peer showed no certificate")?)
}
