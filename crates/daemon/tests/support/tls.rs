//! A TLS listener for callers, and connections to it.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio::net::TcpStream;
use tokio_rustls::TlsConnector;
use tokio_rustls::client::TlsStream;
use tokio_rustls::rustls::pki_types::ServerName;
use tokio_rustls::rustls::{ClientConfig, RootCertStore};

use super::daemon::Options;

const HOST: &str = "entry.test";

/// A self-signed certificate of the callers' listener.
pub struct Certificate {
    pem: (String, String),
    connector: TlsConnector,
}

impl Certificate {
    /// Generates a certificate.
    pub fn generate() -> Self {
        let generated =
            rcgen::generate_simple_self_signed(vec![HOST.to_owned()]).expect("certificate");
        let mut roots = RootCertStore::empty();
        roots.add(generated.cert.der().clone()).expect("valid root");
        let config = ClientConfig::builder().with_root_certificates(roots).with_no_client_auth();
        Self {
            pem: (generated.cert.pem(), generated.signing_key.serialize_pem()),
            connector: TlsConnector::from(Arc::new(config)),
        }
    }

    /// Returns settings with which a daemon uses the certificate.
    pub fn options(&self) -> Options {
        Options { tls: Some(self.pem.clone()) }
    }

    /// Connects to a daemon that uses the certificate.
    pub async fn connect(&self, address: SocketAddr) -> TlsStream<TcpStream> {
        let stream = TcpStream::connect(address).await.expect("connect");
        let name = ServerName::try_from(HOST).expect("valid name");
        self.connector.connect(name, stream).await.expect("TLS handshake")
    }
}
