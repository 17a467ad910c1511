//! Data folders: what is damaged or unknown is refused, and what was synced is read again.

use topazyard_types::MonotonicMs;
use topazyard_wire::disk::{DiskError, DiskEvent, DiskState, DiskWatch, DiskWrite, Writer, open};
use topazyard_wire::{Group, RowChange, WriteToken};

fn folder(name: &str) -> std::path::PathBuf {
    let folder = std::env::temp_dir().join(format!("topazyard-{name}-{}", std::process::id()));
    // It is there only if an earlier run of this process number was cut short.
    let _ = std::fs::remove_dir_all(&folder);
    folder
}

fn write_one(folder: &std::path::Path) {
    let disk = open(folder).expect("a new folder");
    let (sender, receiver) = std::sync::mpsc::channel();
    let written = move |event| match event {
        DiskEvent::Written(token) => sender.send(token.number).expect("a waiting test"),
        other => panic!("{other:?}"),
    };
    let reopen = || panic!("a disk with room is never opened again");
    let writer = Writer::start(disk.database, reopen, written);
    let token = WriteToken { group: Group::Control, number: 4 };
    let changes = vec![RowChange::put("key", &77_u64)];
    writer.write(DiskWrite { token, changes }).expect("room for one write");
    assert_eq!(receiver.recv(), Ok(4));
}

#[test]
fn what_was_said_to_be_synced_is_read_again() {
    let folder = folder("again");
    write_one(&folder);
    // The writer thread lets the file go a moment after its sender is gone.
    let disk = loop {
        match open(&folder) {
            Ok(disk) => break disk,
            Err(DiskError::Locked(_)) => std::thread::yield_now(),
            Err(other) => panic!("{other}"),
        }
    };
    let row = disk.loaded[&Group::Control]["key"].clone();
    assert_eq!(topazyard_wire::rows::decode::<u64>(&row), Some(77));
    std::fs::remove_dir_all(&folder).expect("its own folder");
}

#[test]
fn a_damaged_file_is_refused() {
    let folder = folder("damaged");
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("node.redb"), vec![9_u8; 8_192]).expect("a file");
    assert!(matches!(open(&folder).map(drop), Err(DiskError::Damaged(..))));
    std::fs::remove_dir_all(&folder).expect("its own folder");
}

#[test]
fn a_file_that_was_never_whole_is_made_anew_and_one_that_was_is_not() {
    // What is left where the first pages found no room: a length, and nothing in it.
    let unfinished = vec![0_u8; 73_728];
    let folder = folder("unfinished");
    std::fs::create_dir_all(&folder).expect("a folder");
    std::fs::write(folder.join("node.redb.new"), &unfinished).expect("a file");
    drop(open(&folder).expect("a file made anew"));
    let names = || std::fs::read_dir(&folder).expect("a folder").flatten().map(|e| e.file_name());
    assert_eq!(names().collect::<Vec<_>>(), ["node.redb"]);
    std::fs::write(folder.join("node.redb"), &unfinished).expect("a file");
    assert!(matches!(open(&folder).map(drop), Err(DiskError::Damaged(..))));
    std::fs::remove_dir_all(&folder).expect("its own folder");
}

#[test]
fn a_file_that_another_process_holds_is_not_called_damaged() {
    let folder = folder("held");
    let holder = open(&folder).expect("a new folder");
    assert!(matches!(open(&folder).map(drop), Err(DiskError::Locked(_))));
    drop(holder);
    open(&folder).expect("a folder that nobody holds");
    std::fs::remove_dir_all(&folder).expect("its own folder");
}

#[test]
fn a_folder_that_can_not_be_made_is_not_called_damaged() {
    let file = folder("no-folder");
    std::fs::write(&file, "a file").expect("a file");
    assert!(matches!(open(&file).map(drop), Err(DiskError::Failed(..))));
    std::fs::remove_file(&file).expect("its own file");
}

#[test]
fn room_is_looked_for_and_nothing_stays_behind() {
    let folder = folder("room");
    drop(open(&folder).expect("a new folder"));
    topazyard_wire::disk::open::check_free_space(&folder).expect("room");
    assert_eq!(std::fs::read_dir(&folder).expect("a folder").count(), 1);
    // Whoever writes there finds no room.
    std::os::unix::fs::symlink("/dev/full", folder.join("node.room")).expect("a link");
    let found = topazyard_wire::disk::open::check_free_space(&folder);
    assert!(matches!(found, Err(DiskError::Full(_))), "{found:?}");
    std::fs::remove_dir_all(&folder).expect("its own folder");
}

#[test]
fn an_unknown_table_is_refused() {
    let folder = folder("table");
    std::fs::create_dir_all(&folder).expect("a folder");
    {
        let database = redb::Database::create(folder.join("node.redb")).expect("a file");
        let transaction = database.begin_write().expect("a transaction");
        let table = redb::TableDefinition::<&str, &[u8]>::new("surprise");
        drop(transaction.open_table(table).expect("a table"));
        transaction.commit().expect("a commit");
    }
    assert!(matches!(open(&folder).map(drop), Err(DiskError::UnknownTable(..))));
    std::fs::remove_dir_all(&folder).expect("its own folder");
}

#[test]
fn a_newer_format_is_refused() {
    let folder = folder("newer");
    std::fs::create_dir_all(&folder).expect("a folder");
    {
        let database = redb::Database::create(folder.join("node.redb")).expect("a file");
        let transaction = database.begin_write().expect("a transaction");
        let format = redb::TableDefinition::<&str, u32>::new("format");
        transaction.open_table(format).expect("a table").insert("version", 9).expect("a row");
        transaction.commit().expect("a commit");
    }
    assert!(matches!(open(&folder).map(drop), Err(DiskError::UnknownFormat(_, 9))));
    std::fs::remove_dir_all(&folder).expect("its own folder");
}

#[test]
fn what_waited_for_room_is_no_stall_once_there_is_some() {
    let mut watch = DiskWatch::default();
    let token = |number| WriteToken { group: Group::Node, number };
    watch.write_started(token(1), MonotonicMs(0));
    watch.set_state(DiskState::Full, MonotonicMs(10));
    watch.write_started(token(2), MonotonicMs(20));
    assert_eq!(watch.take_state_change(MonotonicMs(5_000)), Some(DiskState::Full));
    assert!(!watch.accepts_writes());
    watch.set_state(DiskState::Healthy, MonotonicMs(6_000));
    assert_eq!(watch.take_state_change(MonotonicMs(6_000)), Some(DiskState::Healthy));
    watch.write_synced(token(1));
    assert_eq!(watch.state(MonotonicMs(6_900)), DiskState::Healthy);
    assert_eq!(watch.state(MonotonicMs(7_000)), DiskState::Stalled);
}
