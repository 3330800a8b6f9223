//! Connections: authentication of peers, reconnection to a restarted process, and reload of keys.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use oliveworks_net::keys::{Authority, TlsConfig};
use oliveworks_net::net::Net;
use oliveworks_net::wire::{Question, Reply};
use oliveworks_runtime::metrics::Metrics;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Writes the key files of one process to a folder of the test.
fn keys(authority: &Authority, process: &str, test: &str) -> TlsConfig {
    let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(test).join(process);
    std::fs::create_dir_all(&dir).unwrap();
    let issued = authority.issue(process).unwrap();
    let tls = TlsConfig { ca: dir.join("ca"), cert: dir.join("cert"), key: dir.join("key") };
    std::fs::write(&tls.ca, &authority.issued.cert).unwrap();
    std::fs::write(&tls.cert, issued.cert).unwrap();
    std::fs::write(&tls.key, issued.key).unwrap();
    tls
}

/// Starts a process that answers every status query.
fn serve(at: SocketAddr, tls: TlsConfig) -> Arc<Net> {
    let (net, mut connections) = Net::open(at, tls, Arc::new(Metrics::new())).unwrap();
    let net = Arc::new(net);
    tokio::spawn(net.clone().accept());
    let serving = net.clone();
    tokio::spawn(async move {
        while let Some((_, connection)) = connections.recv().await {
            let net = serving.clone();
            tokio::spawn(async move {
                while let Ok((send, recv)) = connection.accept_bi().await {
                    let (mut writer, mut reader) = net.framed(send, recv);
                    if let Ok(Some(Question::Hello(_))) = reader.next::<Question>().await {
                        let _ = writer.send(&Reply::Noted).await;
                        writer.finish();
                    }
                }
            });
        }
    });
    net
}

fn any_local_port() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

async fn ask(from: &Net, name: &str, at: SocketAddr) -> anyhow::Result<Reply> {
    from.ask(name, at, &Question::Hello(0), TIMEOUT).await
}

#[tokio::test]
async fn a_process_is_who_its_certificate_says() {
    let authority = Authority::generate().unwrap();
    let host = serve(any_local_port(), keys(&authority, "host-1", "names"));
    let entry = serve(any_local_port(), keys(&authority, "entry-1", "names"));
    let at = host.local_addr().unwrap();
    assert!(matches!(ask(&entry, "host-1", at).await.unwrap(), Reply::Noted));
    assert!(ask(&entry, "host-2", at).await.is_err(), "it is not host-2");
}

#[tokio::test]
async fn a_process_of_another_authority_gets_nothing() {
    let (ours, theirs) = (Authority::generate().unwrap(), Authority::generate().unwrap());
    let host = serve(any_local_port(), keys(&ours, "host-1", "authority"));
    // The stranger trusts our authority, but another authority issued its certificate.
    let tls = keys(&theirs, "entry-1", "authority");
    std::fs::write(&tls.ca, &ours.issued.cert).unwrap();
    let stranger = serve(any_local_port(), tls);
    assert!(ask(&stranger, "host-1", host.local_addr().unwrap()).await.is_err());
}

/// Starts a process in a runtime of its own, so that the process can end without notifying its
/// peers, like a killed process.
fn serve_in_own_runtime(at: SocketAddr, tls: TlsConfig) -> (tokio::runtime::Runtime, SocketAddr) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let at = runtime.block_on(async { serve(at, tls).local_addr().unwrap() });
    (runtime, at)
}

#[test]
fn a_restarted_process_is_found_again() {
    let authority = Authority::generate().unwrap();
    let tls = keys(&authority, "host-1", "restart");
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let entry_keys = keys(&authority, "entry-1", "restart");
    let entry = runtime.block_on(async { serve(any_local_port(), entry_keys) });
    let (first, at) = serve_in_own_runtime(any_local_port(), tls.clone());
    runtime.block_on(ask(&entry, "host-1", at)).unwrap();
    first.shutdown_timeout(TIMEOUT);
    let (_second, _) = serve_in_own_runtime(at, tls);
    // The new run resets the connection of the former run, so the question does not time out.
    let first_try = runtime.block_on(ask(&entry, "host-1", at));
    let error = first_try.err().map(|e| format!("{e:#}")).unwrap_or_default();
    assert!(!error.contains("does not reply"), "{error}");
    runtime.block_on(ask(&entry, "host-1", at)).unwrap();
}

#[tokio::test]
async fn keys_are_read_again_and_bad_ones_are_not_used() {
    let authority = Authority::generate().unwrap();
    let tls = keys(&authority, "host-1", "reload");
    let host = serve(any_local_port(), tls.clone());
    let entry = serve(any_local_port(), keys(&authority, "entry-1", "reload"));
    assert!(!host.reload().unwrap(), "nothing changed");
    std::fs::write(&tls.cert, "no certificate").unwrap();
    assert!(host.reload().is_err());
    ask(&entry, "host-1", host.local_addr().unwrap()).await.unwrap();
    keys(&authority, "host-1", "reload");
    assert!(host.reload().unwrap());
    entry.discard_connection("host-1");
    ask(&entry, "host-1", host.local_addr().unwrap()).await.unwrap();
}
