//! Deployment keys: one authority, one certificate for each process.

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

/// Name in every certificate of a deployment.
pub(super) const SERVER_NAME: &str = "heatherramp";
/// Interval between signs of life on an idle connection.
const KEEP_ALIVE: Duration = Duration::from_millis(400);
/// Silence after which a connection is given up.
const IDLE: Duration = Duration::from_millis(1_800);
/// Streams that one peer may have open at once.
const MAX_STREAMS: u32 = 2_048;

/// Files of the deployment keys.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct KeyFiles {
    /// Certificate of the authority, PEM.
    pub authority: String,
    /// Certificate of this process, PEM.
    pub certificate: String,
    /// Private key of this process, PEM.
    pub key: String,
}

impl Default for KeyFiles {
    fn default() -> Self {
        KeyFiles {
            authority: "keys/authority.pem".to_owned(),
            certificate: "keys/node.pem".to_owned(),
            key: "keys/node.key".to_owned(),
        }
    }
}

/// Key material of one process.
#[derive(Clone, Debug)]
pub struct Credentials {
    authority: CertificateDer<'static>,
    certificate: CertificateDer<'static>,
    key: Arc<PrivateKeyDer<'static>>,
}

impl Credentials {
    /// Reads the files that `settings` names.
    ///
    /// # Errors
    ///
    /// `Keys` with the file that is missing or unreadable.
    pub fn load(settings: &KeyFiles) -> Result<Self, Report<Error>> {
        let certificate = |path: &str| {
            CertificateDer::from_pem_file(path)
                .change_context(Error::Keys)
                .attach_with(|| path.to_owned())
        };
        let key = PrivateKeyDer::from_pem_file(&settings.key)
            .change_context(Error::Keys)
            .attach_with(|| settings.key.clone())?;
        Ok(Credentials {
            authority: certificate(&settings.authority)?,
            certificate: certificate(&settings.certificate)?,
            key: Arc::new(key),
        })
    }

    fn roots(&self) -> Result<RootCertStore, Report<Error>> {
        let mut roots = RootCertStore::empty();
        roots.add(self.authority.clone()).change_context(Error::Keys)?;
        Ok(roots)
    }

    pub(super) fn server(&self) -> Result<quinn::ServerConfig, Report<Error>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let roots = Arc::new(self.roots()?);
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
        let mut config = quinn::ServerConfig::with_crypto(Arc::new(crypto));
        config.transport_config(transport());
        Ok(config)
    }

    pub(super) fn client(&self) -> Result<quinn::ClientConfig, Report<Error>> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let tls = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])
            .change_context(Error::Keys)?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(vec![self.certificate.clone()], self.key.clone_key())
            .change_context(Error::Keys)?;
        let crypto = QuicClientConfig::try_from(tls).change_context(Error::Keys)?;
        let mut config = quinn::ClientConfig::new(Arc::new(crypto));
        config.transport_config(transport());
        Ok(config)
    }
}

fn transport() -> Arc<quinn::TransportConfig> {
    let mut transport = quinn::TransportConfig::default();
    transport.keep_alive_interval(Some(KEEP_ALIVE));
    transport.max_idle_timeout(Some(IDLE.try_into().expect("a short duration fits")));
    transport.max_concurrent_bidi_streams(MAX_STREAMS.into());
    Arc::new(transport)
}

/// Writes a new authority (unless there is one) and a new node certificate to `folder`.
///
/// # Errors
///
/// `Keys` when a file cannot be written or the authority cannot be read.
pub fn make_keys(folder: &Path) -> Result<(), Report<Error>> {
    fs::create_dir_all(folder).change_context(Error::Keys)?;
    let authority_file = folder.join("authority.pem");
    let authority_key_file = folder.join("authority.key");
    if !authority_file.exists() {
        let key = KeyPair::generate().change_context(Error::Keys)?;
        let authority = authority_params().self_signed(&key).change_context(Error::Keys)?;
        save(&authority_file, &authority.pem())?;
        save(&authority_key_file, &key.serialize_pem())?;
    }
    let authority_key = fs::read_to_string(&authority_key_file).change_context(Error::Keys)?;
    let authority_key = KeyPair::from_pem(&authority_key).change_context(Error::Keys)?;
    let issuer = Issuer::new(authority_params(), authority_key);
    let key = KeyPair::generate().change_context(Error::Keys)?;
    let params = CertificateParams::new(vec![SERVER_NAME.to_owned()]).change_context(Error::Keys)?;
    let certificate = params.signed_by(&key, &issuer).change_context(Error::Keys)?;
    save(&folder.join("node.pem"), &certificate.pem())?;
    save(&folder.join("node.key"), &key.serialize_pem())
}

fn authority_params() -> CertificateParams {
    let mut params = CertificateParams::default();
    params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
    params
}

fn save(path: &Path, text: &str) -> Result<(), Report<Error>> {
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
