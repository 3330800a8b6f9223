//! TLS keys: the fleet's certificate authority, the certificates of processes, and the key files.

use std::path::{Path, PathBuf};
use std::sync::Arc;

use anyhow::{Context, anyhow};
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use rcgen::{
    BasicConstraints, CertificateParams, ExtendedKeyUsagePurpose, IsCa, Issuer, KeyPair,
    KeyUsagePurpose,
};
use rustls::RootCertStore;
use rustls::server::WebPkiClientVerifier;
use rustls_pki_types::pem::PemObject;
use rustls_pki_types::{CertificateDer, PrivateKeyDer};
use serde::{Deserialize, Serialize};

/// Paths of the key files of a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TlsConfig {
    /// Certificate of the authority, in PEM.
    pub ca: PathBuf,
    /// Certificate of this process, in PEM.
    pub cert: PathBuf,
    /// Private key of this process, in PEM.
    pub key: PathBuf,
}

/// Certificate with its private key, in PEM.
#[derive(Clone, Debug)]
pub struct CertWithKey {
    /// Certificate.
    pub cert: String,
    /// Private key.
    pub key: String,
}

/// Certificate authority of the fleet. Its private key is kept by the operators and must not be
/// stored on a host.
pub struct Authority {
    issuer: Issuer<'static, KeyPair>,
    /// Certificate and private key of the authority.
    pub issued: CertWithKey,
}

impl Authority {
    /// Creates an authority with a key of its own.
    ///
    /// # Errors
    /// Returns an error if no key can be generated.
    pub fn generate() -> anyhow::Result<Authority> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(Vec::new())?;
        params.is_ca = IsCa::Ca(BasicConstraints::Unconstrained);
        params.key_usages = vec![KeyUsagePurpose::KeyCertSign, KeyUsagePurpose::CrlSign];
        let cert = params.self_signed(&key)?;
        let issued = CertWithKey { cert: cert.pem(), key: key.serialize_pem() };
        Ok(Authority { issuer: Issuer::new(params, key), issued })
    }

    /// Returns the authority with the given certificate and key.
    ///
    /// # Errors
    /// Returns an error if the certificate or key cannot be read.
    pub fn open(issued: CertWithKey) -> anyhow::Result<Authority> {
        let key = KeyPair::from_pem(&issued.key)?;
        let issuer = Issuer::from_ca_cert_pem(&issued.cert, key)?;
        Ok(Authority { issuer, issued })
    }

    /// Issues a certificate for the process with the given name.
    ///
    /// # Errors
    /// Returns an error if no key can be generated or the name is invalid.
    pub fn issue(&self, process: &str) -> anyhow::Result<CertWithKey> {
        let key = KeyPair::generate()?;
        let mut params = CertificateParams::new(vec![process.to_owned()])?;
        params.extended_key_usages =
            vec![ExtendedKeyUsagePurpose::ServerAuth, ExtendedKeyUsagePurpose::ClientAuth];
        let cert = params.signed_by(&key, &self.issuer)?;
        Ok(CertWithKey { cert: cert.pem(), key: key.serialize_pem() })
    }
}

/// Keys of a process, as read from its files.
pub struct LoadedKeys {
    ca: Vec<CertificateDer<'static>>,
    chain: Vec<CertificateDer<'static>>,
    key: PrivateKeyDer<'static>,
    /// Process name in the certificate.
    pub name: String,
    /// Contents of the files, used to detect changes.
    pub contents: [Vec<u8>; 3],
}

impl TlsConfig {
    /// Reads the key files.
    ///
    /// # Errors
    /// Returns an error that names the file that cannot be read or has invalid contents.
    pub fn load(&self) -> anyhow::Result<LoadedKeys> {
        let contents = [read(&self.ca)?, read(&self.cert)?, read(&self.key)?];
        let [ca, cert, key] = &contents;
        let ca = certificates(ca, &self.ca)?;
        let chain = certificates(cert, &self.cert)?;
        let key = PrivateKeyDer::from_pem_slice(key)
            .map_err(|e| anyhow!("{}: no private key: {e}", self.key.display()))?;
        let first = chain.first().context("the certificate chain is empty")?;
        let name = process_name(first).with_context(|| format!("{}", self.cert.display()))?;
        Ok(LoadedKeys { ca, chain, key, name, contents })
    }
}

fn read(path: &Path) -> anyhow::Result<Vec<u8>> {
    std::fs::read(path).with_context(|| format!("tls: {}", path.display()))
}

fn certificates(pem: &[u8], path: &Path) -> anyhow::Result<Vec<CertificateDer<'static>>> {
    let certs: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(pem).collect();
    let certs = certs.map_err(|e| anyhow!("tls: {}: {e}", path.display()))?;
    if certs.is_empty() {
        return Err(anyhow!("tls: {}: the file contains no certificate", path.display()));
    }
    Ok(certs)
}

/// Returns the process name in a certificate.
///
/// # Errors
/// Returns an error if the certificate cannot be parsed or contains no process name.
pub fn process_name(cert: &CertificateDer<'_>) -> anyhow::Result<String> {
    use x509_parser::prelude::{FromDer, GeneralName, X509Certificate};
    let (_, parsed) = X509Certificate::from_der(cert).map_err(|e| anyhow!("certificate: {e}"))?;
    let names = parsed.subject_alternative_name()?.context("the certificate names no process")?;
    let dns = names.value.general_names.iter().find_map(|n| match n {
        GeneralName::DNSName(name) => Some((*name).to_owned()),
        _ => None,
    });
    dns.context("the certificate names no process")
}

/// Protocol name in the TLS handshake (ALPN). The name changes with the wire format.
const PROTOCOL: &[u8] = b"oliveworks/1";

impl LoadedKeys {
    /// Returns the keys for stateless resets and for connection ids. Both are derived from the
    /// private key, so every run of the same process has the same keys.
    pub(crate) fn reset_and_id_keys(&self) -> (Arc<dyn quinn::crypto::HmacKey>, u64) {
        let [_, _, key] = &self.contents;
        let reset = ring::hmac::Key::new(ring::hmac::HMAC_SHA256, key);
        let digest = ring::hmac::sign(&reset, b"connection ids");
        let mut id_key = [0; 8];
        id_key.copy_from_slice(&digest.as_ref()[..8]);
        (Arc::new(reset), u64::from_be_bytes(id_key))
    }

    fn roots(&self) -> anyhow::Result<Arc<RootCertStore>> {
        let mut roots = RootCertStore::empty();
        for cert in &self.ca {
            roots.add(cert.clone())?;
        }
        Ok(Arc::new(roots))
    }

    /// Returns the TLS configuration for incoming connections.
    ///
    /// # Errors
    /// Returns an error if the key does not match the certificate.
    pub fn server(&self) -> anyhow::Result<QuicServerConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let verifier =
            WebPkiClientVerifier::builder_with_provider(self.roots()?, provider.clone()).build()?;
        let mut config = rustls::ServerConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_client_cert_verifier(verifier)
            .with_single_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(QuicServerConfig::try_from(config)?)
    }

    /// Returns the TLS configuration for outgoing connections.
    ///
    /// # Errors
    /// Returns an error if the key does not match the certificate.
    pub fn client(&self) -> anyhow::Result<QuicClientConfig> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut config = rustls::ClientConfig::builder_with_provider(provider)
            .with_protocol_versions(&[&rustls::version::TLS13])?
            .with_root_certificates(self.roots()?)
            .with_client_auth_cert(self.chain.clone(), self.key.clone_key())?;
        config.alpn_protocols = vec![PROTOCOL.to_vec()];
        Ok(QuicClientConfig::try_from(config)?)
    }
}
