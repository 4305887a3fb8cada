//! Deployment keys: one certificate authority, and a certificate for each process.
//!
//! Both sides of a connection verify that the authority signed the other's certificate.

use std::fs;
use std::path::Path;
use std::sync::Arc;
use std::time::Duration;

use error_stack::Report;
use error_stack::ResultExt;
use quinn::crypto::rustls::QuicClientConfig;
use quinn::crypto::rustls::QuicServerConfig;
use rcgen::BasicConstraints;
use rcgen::CertificateParams;
use rcgen::IsCa;
use rcgen::Issuer;
use rcgen::KeyPair;
use rustls::RootCertStore;
use rustls::pki_types::CertificateDer;
use rustls::pki_types::PrivateKeyDer;
use rustls::pki_types::pem::PemObject;
use rustls::server::WebPkiClientVerifier;
use serde::Deserialize;
use serde::Serialize;

use super::Error;
use super::Windows;

/// Server name in the certificates of all processes, so any of them fits any address.
pub(super) const SERVER_NAME: &str = "heatherramp";
/// Interval of keep-alive packets on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_millis(400);
/// Time without a packet from the peer after which a connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_millis(1_800);
/// Memory of a VM whose process does not know it, in MB.
const ASSUMED_MEMORY_MB: f64 = 256.0;
/// Connections that have arrived and are not accepted or refused yet.
const MAX_UNDECIDED_CONNECTIONS: usize = 512;
/// Bytes that have arrived on them: several first packets of each.
const MAX_UNDECIDED_BYTES: u64 = 4 << 20;

/// Paths of the files with the deployment keys, relative to the working directory if not absolute.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct Keys {
    /// Path of the authority's certificate, as PEM.
    pub authority: String,
    /// Path of this process's certificate, as PEM.
    pub certificate: String,
    /// Path of this process's private key, as PEM.
    pub key: String,
}

impl Default for Keys {
    fn default() -> Self {
        Keys {
            authority: "keys/authority.pem".to_owned(),
            certificate: "keys/node.pem".to_owned(),
            key: "keys/node.key".to_owned(),
        }
    }
}

/// Certificate and private key of one process, the authority that it trusts, and the windows of its connections.
#[derive(Clone, Debug)]
pub struct Credentials {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: Arc<PrivateKeyDer<'static>>,
    windows: Windows,
}

impl Credentials {
    /// Reads the key files.
    ///
    /// # Errors
    ///
    /// `Keys`, with the path of the file that is missing or unreadable.
    pub fn load(paths: &Keys) -> Result<Self, Report<Error>> {
        let load_certificate = |path: &str| {
            CertificateDer::from_pem_file(path)
                .change_context(Error::Keys)
                .attach_with(|| path.to_owned())
        };
        let key = PrivateKeyDer::from_pem_file(&paths.key)
            .change_context(Error::Keys)
            .attach_with(|| paths.key.clone())?;
        Ok(Credentials {
            authority: load_certificate(&paths.authority)?,
            certificate: load_certificate(&paths.certificate)?,
            key: Arc::new(key),
            windows: Windows::new(ASSUMED_MEMORY_MB),
        })
    }

    /// The same with the windows for a VM with `memory_mb` of memory.
    pub fn with_memory(self, memory_mb: f64) -> Self {
        Credentials {
            windows: Windows::new(memory_mb),
            ..self
        }
    }

    fn trusted_roots(&self) -> Result<RootCertStore, Report<Error>> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone()).change_context(Error::Keys)?;
        Ok(roots)
    }

    /// Configuration of a server; `stream_window` bounds the bytes that a stream's peer may send before they are
    /// read, and eight times that the bytes that a connection's peers have not acknowledged. Without it, the windows
    /// follow from the memory of the VM.
    pub(super) fn server_config(
        &self,
        stream_window: Option<u32>,
    ) -> Result<quinn::ServerConfig, Report<Error>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(self.trusted_roots()?);
        let verifier = WebPkiClientVerifier::builder_with_provider(roots, provider.clone())
            .build()
            .change_context(Error::Keys)?;
        let tls = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .change_context(Error::Keys)?
            .with_client_cert_verifier(verifier)
            .with_single_cert(vec![self.certificate.clone()], self.key.clone_key())
            .change_context(Error::Keys)?;
        let crypto = QuicServerConfig::try_from(tls).change_context(Error::Keys)?;
        let windows = stream_window.map_or(self.windows, |bytes| self.windows.with_stream(bytes));
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(transport_config(windows));
        // Of connections that are not decided on yet; the defaults are 65,536 and 100 MiB.
        config.max_incoming(MAX_UNDECIDED_CONNECTIONS);
        config.incoming_buffer_size(MAX_UNDECIDED_BYTES / MAX_UNDECIDED_CONNECTIONS as u64);
        config.incoming_buffer_size_total(MAX_UNDECIDED_BYTES);
        Ok(config)
    }

    pub(super) fn client_config(&self) -> Result<quinn::ClientConfig, Report<Error>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .change_context(Error::Keys)?
            .with_root_certificates(self.trusted_roots()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())
            .change_context(Error::Keys)?;
        let crypto = QuicClientConfig::try_from(tls).change_context(Error::Keys)?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        config.transport_config(transport_config(self.windows.without_streams()));
        Ok(config)
    }
}

fn transport_config(windows: Windows) -> Arc<quinn::TransportConfig> {
    let mut config = quinn::TransportConfig::default();
    config.keep_alive_interval(Some(KEEP_ALIVE_INTERVAL));
    config.max_idle_timeout(Some(
        IDLE_TIMEOUT
            .try_into()
            .expect("the timeout fits into a QUIC variable-length integer"),
    ));
    windows.apply(&mut config);
    Arc::new(config)
}

/// Writes a new key and certificate of a process to `folder`, signed by the authority there.
///
/// Creates the folder and the authority unless they exist.
///
/// # Errors
///
/// `Keys` when a file cannot be written, or when the authority's key cannot be read.
pub fn make_keys(folder: &Path) -> Result<(), Report<Error>> {
    fs::create_dir_all(folder).change_context(Error::Keys)?;
    let authority_path = folder.join("authority.pem");
    let authority_key_path = folder.join("authority.key");
    if !authority_path.exists() {
        let key = KeyPair::generate().change_context(Error::Keys)?;
        let authority = authority_params().self_signed(&key).change_context(Error::Keys)?;
        write_private(&authority_path, &authority.pem())?;
        write_private(&authority_key_path, &key.serialize_pem())?;
    }
    let authority_key = fs::read_to_string(&authority_key_path).change_context(Error::Keys)?;
    let authority_key = KeyPair::from_pem(&authority_key).change_context(Error::Keys)?;
    let issuer = Issuer::new(authority_params(), authority_key);
    let key = KeyPair::generate().change_context(Error::Keys)?;
    let params = CertificateParams::new(vec![SERVER_NAME.to_owned()]).change_context(Error::Keys)?;
    let certificate = params.signed_by(&key, &issuer).change_context(Error::Keys)?;
    write_private(&folder.join("node.pem"), &certificate.pem())?;
    write_private(&folder.join("node.key"), &key.serialize_pem())
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params
}

/// Writes a file, and creates a missing one readable by its owner only.
fn write_private(path: &Path, text: &str) -> Result<(), Report<Error>> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;

    let file = fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(path);
    let mut file = file.change_context(Error::Keys)?;
    file.write_all(text.as_bytes()).change_context(Error::Keys)
}
