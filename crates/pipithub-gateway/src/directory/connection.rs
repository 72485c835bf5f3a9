//! Connections to directory servers: TCP, TLS and the LDAP bind.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use pipithub_ldap::{Client, ClientSettings, Event, SimpleBind};
use pipithub_settings::{DirectoryConfig, ServerConfig, Tls};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::rustls::pki_types::pem::PemObject;
use tokio_rustls::rustls::pki_types::{CertificateDer, InvalidDnsNameError, ServerName};
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

/// The time within which a connection must be established, secured and bound.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
const READ_BUFFER_BYTES: usize = 32 << 10;
const SETUP_BUFFER_BYTES: usize = 4096;

/// Why a connection to a directory server was not made, or ended.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// A system call or the TLS handshake failed, or a certificate file could not be read.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The server's name in the settings is no valid name for its certificate.
    #[error(transparent)]
    ServerName(#[from] InvalidDnsNameError),
    /// The connection was not established, secured and bound in time.
    #[error("the connection was not established in time")]
    ConnectTimeout,
    /// The server closed the connection.
    #[error("the server closed the connection")]
    Closed,
    /// The LDAP client closed the connection, for this reason: a failed bind, or a violation of the protocol.
    #[error("{0}")]
    Protocol(String),
}

trait Transport: AsyncRead + AsyncWrite + Unpin + Send {}
impl<T: AsyncRead + AsyncWrite + Unpin + Send> Transport for T {}

/// The TLS configuration of a directory; `None` if its connections are not encrypted.
pub(super) fn tls_connector(directory: &DirectoryConfig) -> io::Result<Option<TlsConnector>> {
    if directory.tls == Tls::None {
        return Ok(None);
    }
    let roots = root_certificates(directory)?;
    let provider = Arc::new(tokio_rustls::rustls::crypto::ring::default_provider());
    let config = ClientConfig::builder_with_provider(provider)
        .with_safe_default_protocol_versions()
        .map_err(|error| io::Error::other(error.to_string()))?
        .with_root_certificates(roots)
        .with_no_client_auth();
    Ok(Some(TlsConnector::from(Arc::new(config))))
}

fn root_certificates(directory: &DirectoryConfig) -> io::Result<RootCertStore> {
    let mut roots = RootCertStore::empty();
    if let Some(path) = &directory.ca {
        let unreadable = |error| io::Error::other(format!("{}: {error}", path.display()));
        for certificate in CertificateDer::pem_file_iter(path).map_err(unreadable)? {
            roots
                .add(certificate.map_err(unreadable)?)
                .map_err(|error| io::Error::other(error.to_string()))?;
        }
    }
    Ok(roots)
}

/// A connection that is bound and ready for searches.
pub(super) struct Connection {
    stream: Box<dyn Transport>,
    pub(super) client: Client,
    buffer: Vec<u8>,
}

impl Connection {
    /// Connects to the directory's server with this index, secures the connection and binds. Fails if that is not done
    /// within [`CONNECT_TIMEOUT`].
    pub(super) async fn open(
        directory: &DirectoryConfig,
        server: usize,
        tls: Option<&TlsConnector>,
    ) -> Result<Self, ConnectionError> {
        let opening = async {
            let mut stream = secured_stream(directory, &directory.servers[server], tls).await?;
            let client = bound_client(directory, &mut stream).await?;
            Ok(Connection {
                stream,
                client,
                buffer: vec![0; READ_BUFFER_BYTES],
            })
        };
        tokio::time::timeout(CONNECT_TIMEOUT, opening)
            .await
            .unwrap_or(Err(ConnectionError::ConnectTimeout))
    }

    /// Writes the client's pending output.
    pub(super) async fn flush(&mut self) -> Result<(), ConnectionError> {
        let bytes = self.client.take_output();
        if !bytes.is_empty() {
            self.stream.write_all(&bytes).await?;
        }
        Ok(())
    }

    /// Waits for bytes from the server and passes them to the client.
    pub(super) async fn read(&mut self) -> Result<(), ConnectionError> {
        match self.stream.read(&mut self.buffer).await? {
            0 => Err(ConnectionError::Closed),
            count => {
                self.client.receive(&self.buffer[..count]);
                Ok(())
            }
        }
    }

    /// Announces the end of the connection to the server; errors are ignored.
    pub(super) async fn unbind(&mut self) {
        self.client.unbind();
        let _ = self.flush().await;
    }
}

/// Connects to a server, with or without TLS as the directory's settings say.
async fn secured_stream(
    directory: &DirectoryConfig,
    server: &ServerConfig,
    tls: Option<&TlsConnector>,
) -> Result<Box<dyn Transport>, ConnectionError> {
    let mut plain = TcpStream::connect(&server.address).await?;
    let _ = plain.set_nodelay(true);
    let Some(tls) = tls else {
        return Ok(Box::new(plain));
    };
    match directory.tls {
        Tls::None => return Ok(Box::new(plain)),
        Tls::Ldaps => {}
        Tls::StartTls => start_tls(&mut plain).await?,
    }
    let name = ServerName::try_from(server.name.clone())?;
    Ok(Box::new(tls.connect(name, plain).await?))
}

/// Requests TLS by the extended operation `StartTLS` (RFC 4511, 4.14). The TLS handshake follows, and then a new client
/// takes over the connection.
async fn start_tls(stream: &mut TcpStream) -> Result<(), ConnectionError> {
    let mut client = Client::new(ClientSettings {
        start_tls: true,
        bind: None,
        ..ClientSettings::default()
    });
    drive(stream, &mut client, |event| {
        matches!(event, Event::BeginTls)
    })
    .await
}

/// Binds by the credentials of the settings, or anonymously, and returns the client of the connection.
async fn bound_client(
    directory: &DirectoryConfig,
    stream: &mut Box<dyn Transport>,
) -> Result<Client, ConnectionError> {
    let bind = directory.bind.clone().map(|bind| SimpleBind {
        name: bind.name,
        password: bind.password,
    });
    let mut client = Client::new(ClientSettings {
        bind,
        ..ClientSettings::default()
    });
    drive(stream, &mut client, |event| matches!(event, Event::Ready)).await?;
    Ok(client)
}

/// Transfers bytes until the client reports the awaited event.
async fn drive<S: Transport + ?Sized>(
    stream: &mut S,
    client: &mut Client,
    is_awaited: impl Fn(&Event) -> bool,
) -> Result<(), ConnectionError> {
    let mut buffer = [0; SETUP_BUFFER_BYTES];
    loop {
        let bytes = client.take_output();
        stream.write_all(&bytes).await?;
        while let Some(event) = client.poll() {
            match event {
                event if is_awaited(&event) => return Ok(()),
                Event::Closed(reason) => return Err(ConnectionError::Protocol(reason)),
                _ => {}
            }
        }
        match stream.read(&mut buffer).await? {
            0 => return Err(ConnectionError::Closed),
            count => client.receive(&buffer[..count]),
        }
    }
}
