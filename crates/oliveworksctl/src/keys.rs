//! Making keys and tokens.

use std::path::{Path, PathBuf};

use anyhow::Context;
use clap::Subcommand;
use oliveworks_net::keys::{Authority, CertWithKey};
use oliveworks_platform::sign::{SigningKey, to_hex, token_digest};
use rand::Rng;
use serde_json::json;

use crate::Output;

/// What to make.
#[derive(Subcommand)]
pub enum Command {
    /// A token for callers or operators, with the digest that is published.
    Token,
    /// A key for records, of a partner or of the system: NAME.key and NAME.pub.
    Record {
        /// The key's name.
        name: String,
        /// The folder.
        #[arg(long, default_value = ".")]
        dir: PathBuf,
    },
    /// The fleet's authority: ca.pem, and ca.key, which belongs on no host.
    Authority {
        /// The folder.
        #[arg(long, default_value = ".")]
        dir: PathBuf,
    },
    /// Certificates of processes, such as entry-1 or host-7: NAME.pem and NAME.key.
    Issue {
        /// The processes.
        names: Vec<String>,
        /// The folder with the authority.
        #[arg(long, default_value = ".")]
        dir: PathBuf,
    },
}

/// The length of a token in bytes.
const TOKEN_LEN: usize = 24;

fn write(dir: &Path, name: &str, text: &str, secret: bool) -> anyhow::Result<()> {
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

/// `oliveworksctl keys`
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
            write(&dir, &format!("{name}.key"), &key.to_hex(), true)?;
            write(&dir, &format!("{name}.pub"), &key.public_hex(), false)?;
            json!({"name": name, "public": key.public_hex()})
        }
        Command::Authority { dir } => {
            let authority = Authority::generate()?;
            write(&dir, "ca.pem", &authority.issued.cert, false)?;
            write(&dir, "ca.key", &authority.issued.key, true)?;
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
                write(&dir, &format!("{name}.pem"), &issued.cert, false)?;
                write(&dir, &format!("{name}.key"), &issued.key, true)?;
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
