//! A node that starts while its disk is full: it waits, says so to callers, and goes on.

use std::io::{Read as _, Write as _};
use topazyard_wire::disk::DiskError;
use topazyard_wire::driver::StartError;
use topazyard_wire::driver::disk_start::open_once_disk_has_space;

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("topazyard-{name}-{}", std::process::id()));
    // It is there only if an earlier run of this process number was cut short.
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).expect("a folder");
    folder
}

fn full(folder: &std::path::Path) -> Result<u64, StartError> {
    Err(StartError::Disk(DiskError::Full(folder.join("node.redb"))))
}

/// What a caller is answered.
fn ask(address: std::net::SocketAddr) -> String {
    let mut connection = std::net::TcpStream::connect(address).expect("a listener");
    let request = b"GET /health HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n";
    connection.write_all(request).expect("a request");
    let mut answer = String::new();
    connection.read_to_string(&mut answer).expect("an answer");
    answer
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_node_that_starts_without_room_waits_and_says_so() {
    let folder = folder("waiting");
    let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = free.local_addr().expect("its address");
    drop(free);
    // Whoever looks for room in the folder finds none.
    std::os::unix::fs::symlink("/dev/full", folder.join("node.room")).expect("a link");
    let (tried, mut tries) = tokio::sync::mpsc::unbounded_channel();
    let place = folder.clone();
    let mut attempts = 0;
    let opening = tokio::spawn(async move {
        let open = || {
            attempts += 1;
            tried.send(attempts).expect("a waiting test");
            if attempts < 3 { full(&place) } else { Ok(attempts) }
        };
        open_once_disk_has_space(Some(address), open).await
    });
    assert_eq!(tries.recv().await, Some(1));
    // The listener is there a moment after the first attempt.
    let answer = tokio::task::spawn_blocking(move || {
        while std::net::TcpStream::connect(address).is_err() {
            std::thread::yield_now();
        }
        ask(address)
    });
    let answer = answer.await.expect("an answer");
    assert!(answer.starts_with("HTTP/1.1 503") && answer.contains("disk_full"), "{answer}");
    // The link was removed by the search for room, so the next one finds some.
    assert_eq!(tries.recv().await, Some(2));
    assert_eq!(tries.recv().await, Some(3));
    assert!(matches!(opening.await.expect("a task"), Ok(3)));
    std::net::TcpListener::bind(address).expect("the address is free again");
    std::fs::remove_dir_all(&folder).expect("its own folder");
}

#[tokio::test]
async fn a_file_that_is_damaged_is_refused_at_once() {
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
