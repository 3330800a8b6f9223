//! Generation of keys, certificates and tokens.

use std::path::{Path, PathBuf};

use anyhow::Context;
use clap::Subcommand;
use oliveworks_net::keys::{Authority, CertWithKey};
use oliveworks_platform::sign::{SigningKey, to_hex, token_digest};
use rand::Rng;
use serde_json::json;

use crate::Output;

/// What to generate
#[derive(Subcommand)]
pub enum Command {
    /// Generate a token for callers or operators, and the digest to publish
    Token,
    /// Generate a key pair that signs records of a partner or of the system: NAME.key and NAME.pub
    Record {
        /// Name of the key
        name: String,
        /// Directory of the generated files
        #[arg(long, default_value = ".")]
        dir: PathBuf,
    },
    /// Generate the certificate authority of the fleet: ca.pem and ca.key; keep ca.key off the
    /// hosts
    Authority {
        /// Directory of the generated files
        #[arg(long, default_value = ".")]
        dir: PathBuf,
    },
    /// Issue certificates of processes: NAME.pem and NAME.key
    Issue {
        /// Names of the processes, such as entry-1 or host-7
        names: Vec<String>,
        /// Directory with ca.pem and ca.key; the certificates are written there too
        #[arg(long, default_value = ".")]
        dir: PathBuf,
    },
}

/// Number of random bytes in a token.
const TOKEN_LEN: usize = 24;

/// Writes a file. Secret files are readable only by their owner.
fn write_file(dir: &Path, name: &str, text: &str, secret: bool) -> anyhow::Result<()> {
    use std::io::Write;
    use std::os::unix::fs::OpenOptionsExt;
    let path = dir.join(name);
    let mode = if secret { 0o600 } else { 0o644 };
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(mode)
        .open(&path)
        .with_context(|| format!("{}", path.display()))?;
    file.write_all(text.as_bytes()).with_context(|| format!("{}", path.display()))
}

/// Runs `oliveworksctl keys`.
pub fn run(command: Command, output: Output) -> anyhow::Result<()> {
    let made = match command {
        Command::Token => {
            let mut bytes = [0u8; TOKEN_LEN];
            rand::rng().fill_bytes(&mut bytes);
            let token = format!("ow-{}", to_hex(&bytes));
            json!({"token": token, "digest": token_digest(&token)})
        }
        Command::Record { name, dir } => {
            let key = SigningKey::generate()?;
            write_file(&dir, &format!("{name}.key"), &key.to_hex(), true)?;
            write_file(&dir, &format!("{name}.pub"), &key.public_hex(), false)?;
            json!({"name": name, "public": key.public_hex()})
        }
        Command::Authority { dir } => {
            let authority = Authority::generate()?;
            write_file(&dir, "ca.pem", &authority.issued.cert, false)?;
            write_file(&dir, "ca.key", &authority.issued.key, true)?;
            json!({"authority": "ca.pem"})
        }
        Command::Issue { names, dir } => {
            let read = |name: &str| {
                let path = dir.join(name);
                std::fs::read_to_string(&path).with_context(|| format!("{}", path.display()))
            };
            let authority =
                Authority::open(CertWithKey { cert: read("ca.pem")?, key: read("ca.key")? })?;
            for name in &names {
                let issued = authority.issue(name)?;
                write_file(&dir, &format!("{name}.pem"), &issued.cert, false)?;
                write_file(&dir, &format!("{name}.key"), &issued.key, true)?;
            }
            json!({"issued": names})
        }
    };
    match output {
        Output::Json => println!("{made}"),
        Output::Text => {
            for (key, value) in made.as_object().into_iter().flatten() {
                println!("{key}: {}", value.as_str().map_or(value.to_string(), str::to_owned));
            }
        }
    }
    Ok(())
}
