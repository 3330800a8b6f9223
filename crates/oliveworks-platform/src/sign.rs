//! Signatures of records and snapshots. The log holds signed records, and every reader verifies
//! them.

use std::collections::BTreeMap;

use anyhow::{Context, anyhow, bail};
use oliveworks_core::pool::Snapshot;
use oliveworks_core::record::{Author, Record};
use ring::rand::SystemRandom;
use ring::signature::{ED25519, Ed25519KeyPair, KeyPair, UnparsedPublicKey};
use serde::{Deserialize, Serialize};

/// A record with its signature, as written to the log.
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
struct Envelope {
    /// Record as JSON, byte for byte as it was signed.
    record: String,
    /// Signature, in hexadecimal.
    sig: String,
}

/// Private key that signs records and snapshots.
pub struct SigningKey {
    pair: Ed25519KeyPair,
    document: Vec<u8>,
}

/// Encodes bytes in hexadecimal.
pub fn to_hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}

/// Decodes hexadecimal text.
///
/// # Errors
/// Returns an error if the text is not hexadecimal.
pub fn from_hex(text: &str) -> anyhow::Result<Vec<u8>> {
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        bail!("not hexadecimal");
    }
    let pairs = (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16));
    pairs.collect::<Result<_, _>>().map_err(|_| anyhow!("not hexadecimal"))
}

/// Returns the SHA-256 digest under which a caller's token is published.
pub fn token_digest(token: &str) -> String {
    to_hex(ring::digest::digest(&ring::digest::SHA256, token.as_bytes()).as_ref())
}

impl SigningKey {
    /// Generates a new key.
    ///
    /// # Errors
    /// Returns an error if the operating system provides no random bytes.
    pub fn generate() -> anyhow::Result<SigningKey> {
        let document = Ed25519KeyPair::generate_pkcs8(&SystemRandom::new())
            .map_err(|_| anyhow!("the operating system provides no random bytes"))?;
        SigningKey::from_document(document.as_ref().to_vec())
    }

    fn from_document(document: Vec<u8>) -> anyhow::Result<SigningKey> {
        let pair = Ed25519KeyPair::from_pkcs8(&document)
            .map_err(|e| anyhow!("private key is invalid: {e}"))?;
        Ok(SigningKey { pair, document })
    }

    /// Decodes a key from the format of [`SigningKey::to_hex`].
    ///
    /// # Errors
    /// Returns an error if the text is not a private key.
    pub fn from_hex(text: &str) -> anyhow::Result<SigningKey> {
        SigningKey::from_document(from_hex(text.trim())?)
    }

    /// Returns the private key in hexadecimal.
    pub fn to_hex(&self) -> String {
        to_hex(&self.document)
    }

    /// Returns the public key in hexadecimal.
    pub fn public_hex(&self) -> String {
        to_hex(self.pair.public_key().as_ref())
    }

    /// Signs a record and returns the text for the log.
    ///
    /// # Errors
    /// Returns an error if the record cannot be serialized.
    pub fn sign(&self, record: &Record) -> anyhow::Result<String> {
        let record = serde_json::to_string(record)?;
        let sig = to_hex(self.pair.sign(record.as_bytes()).as_ref());
        Ok(serde_json::to_string(&Envelope { record, sig })?)
    }

    /// Signs a snapshot and returns its bytes followed by the signature.
    ///
    /// # Errors
    /// Never returns an error at present.
    pub fn sign_snapshot(&self, snapshot: &Snapshot) -> anyhow::Result<Vec<u8>> {
        let mut bytes = snapshot.to_bytes();
        let sig = self.pair.sign(&bytes);
        bytes.extend_from_slice(sig.as_ref());
        Ok(bytes)
    }
}

/// Length of a signature, in bytes.
const SIG_LEN: usize = 64;

/// Public keys of all authors of records.
#[derive(Clone, Debug, Default)]
pub struct KeyRing {
    keys: BTreeMap<String, Vec<u8>>,
}

fn author_name(author: &Author) -> String {
    match author {
        Author::Partner(name) => format!("partner {name}"),
        Author::System => "system".to_owned(),
    }
}

impl KeyRing {
    /// Creates a key ring from authors and their keys in the format of [`SigningKey::public_hex`].
    ///
    /// # Errors
    /// Returns an error that names the author of an invalid key.
    pub fn new(keys: impl IntoIterator<Item = (Author, String)>) -> anyhow::Result<KeyRing> {
        let mut ring = KeyRing::default();
        for (author, hex) in keys {
            let name = author_name(&author);
            let key = from_hex(&hex).with_context(|| format!("public key of {name}"))?;
            if key.len() != ED25519_PUBLIC_LEN {
                bail!("public key of {name}: expected {ED25519_PUBLIC_LEN} bytes");
            }
            ring.keys.insert(name, key);
        }
        Ok(ring)
    }

    fn verify(&self, author: &Author, message: &[u8], sig: &[u8]) -> anyhow::Result<()> {
        let name = author_name(author);
        let key = self
            .keys
            .get(&name)
            .with_context(|| format!("no public key of {name} is configured"))?;
        UnparsedPublicKey::new(&ED25519, key)
            .verify(message, sig)
            .map_err(|_| anyhow!("the signature does not match the public key of {name}"))
    }

    /// Parses a signed record and verifies its signature.
    ///
    /// # Errors
    /// Returns an error if the text is not a signed record or the signature is not that of its
    /// author.
    pub fn open(&self, text: &str) -> anyhow::Result<Record> {
        let envelope: Envelope =
            serde_json::from_str(text).context("the text is not a signed record")?;
        let record: Record =
            serde_json::from_str(&envelope.record).context("the signed text is not a record")?;
        let sig = from_hex(&envelope.sig)?;
        self.verify(&record.author, envelope.record.as_bytes(), &sig)?;
        Ok(record)
    }

    /// Parses a signed snapshot and verifies its signature.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a signed snapshot or the signature is not that of the
    /// system. [`Snapshot::into_verified_pool`] checks the digest.
    pub fn open_snapshot(&self, bytes: &[u8]) -> anyhow::Result<Snapshot> {
        let at = bytes
            .len()
            .checked_sub(SIG_LEN)
            .context("signed snapshot is shorter than a signature")?;
        let (text, sig) = bytes.split_at(at);
        self.verify(&Author::System, text, sig)?;
        Snapshot::from_bytes(text).map_err(|e| anyhow!("{e}"))
    }
}

/// Length of a public key, in bytes.
const ED25519_PUBLIC_LEN: usize = 32;

impl KeyRing {
    /// Creates the key ring of a fleet from the keys of its partners and of the system.
    ///
    /// # Errors
    /// Returns an error that names the author of an invalid key.
    pub fn of_fleet<'a>(
        partners: impl IntoIterator<Item = (&'a oliveworks_core::id::Name, &'a String)>,
        system: &str,
    ) -> anyhow::Result<KeyRing> {
        let partners = partners.into_iter().map(|(n, k)| (Author::Partner(n.clone()), k.clone()));
        KeyRing::new(partners.chain([(Author::System, system.to_owned())]))
    }
}
