//! A node that starts while its disk is full waits, reports it over HTTP, and starts once there is
//! free space.

use std::io::{Read as _, Write as _};
use topazyard_wire::disk::DiskError;
use topazyard_wire::driver::StartError;
use topazyard_wire::driver::disk_start::open_once_disk_has_space;

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("topazyard-{name}-{}", std::process::id()));
    // It exists only if an earlier run with the same process id was interrupted.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn full(folder: &std::path::Path) -> Result<u64, StartError> {
    Err(StartError::Disk(DiskError::Full(folder.join("node.redb"))))
}

/// Sends a request and returns the response.
fn fetch_health(address: std::net::SocketAddr) -> String {
    let mut connection = std::net::TcpStream::connect(address).expect("a listener");
    let request = b"GET /health HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    connection.write_all(request).expect("a request");
    let mut response = String::new();
    connection.read_to_string(&mut response).expect("a response");
    response
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn start_on_a_full_disk_waits_and_reports_it() {
    let folder = folder("waiting");
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = free.local_addr().expect("its address");
    drop(free);
    // The check for free space in the folder fails as on a full disk.
    std::os::unix::fs::symlink("/dev/full", folder.join("node.room")).expect("a link");
    let (attempt_sender, mut attempt_receiver) = tokio::sync::mpsc::unbounded_channel();
    let data_folder = folder.clone();
    let mut attempts = 0;
    let opening = tokio::spawn(async move {
        let open = || {
            attempts += 1;
            attempt_sender.send(attempts).expect("the test waits");
            if attempts < 3 { full(&data_folder) } else { Ok(attempts) }
        };
        open_once_disk_has_space(Some(address), open).await
    });
    assert_eq!(attempt_receiver.recv().await, Some(1));
    // The listener is bound shortly after the first attempt.
    let response = tokio::task::spawn_blocking(move || {
        while std::net::TcpStream::connect(address).is_err() {
            std::thread::yield_now();
        }
        fetch_health(address)
    });
    let response = response.await.expect("a response");
    assert!(response.starts_with("HTTP/1.1 503") && response.contains("disk_full"), "{response}");
    // The check removed the link, so the next one finds free space.
    assert_eq!(attempt_receiver.recv().await, Some(2));
    assert_eq!(attempt_receiver.recv().await, Some(3));
    assert!(matches!(opening.await.expect("a task"), Ok(3)));
    std::net::TcpListener::bind(address).expect("the address is free again");
    std::fs::remove_dir_all(&folder).expect("its own folder");
}

#[tokio::test]
async fn damaged_file_is_refused_at_once() {
    let mut attempts = 0;
    let open = || -> Result<(), StartError> {
        attempts += 1;
        let error = DiskError::Damaged("node.redb".into(), "a torn page".to_owned());
        Err(StartError::Disk(error))
    };
    let refused = open_once_disk_has_space(None, open).await;
    assert!(matches!(refused, Err(StartError::Disk(DiskError::Damaged(..)))));
    assert_eq!(attempts, 1);
}
