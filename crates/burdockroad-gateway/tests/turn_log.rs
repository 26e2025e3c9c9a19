//! The log of turns on a disk: torn and damaged files, failures and removal.

use std::{
    fs,
    path::{Path, PathBuf},
};

use burdockroad::gateway::{Turn, TurnKey};
use burdockroad_gateway::TurnLog;
use bytes::Bytes;

fn key(turn: &str) -> TurnKey {
    TurnKey {
        account: "account".to_owned(),
        turn: turn.to_owned(),
    }
}

fn turn(id: &str, previous: Option<&str>) -> Turn {
    Turn {
        key: key(id),
        previous: previous.map(str::to_owned),
        root: "1".to_owned(),
        home_domain: "a".to_owned(),
        expires_unix_ms: 1000,
        stored_until_unix_ms: 2000,
        allowed_regions: None,
        input: Bytes::from(format!("input {id}")),
        output: Bytes::from(format!("output {id}\n")),
    }
}

/// Returns the paths of the segments in a folder.
fn segments(folder: &Path) -> Vec<PathBuf> {
    let entries = fs::read_dir(folder).expect("the folder is listed");
    let mut paths: Vec<PathBuf> = entries.map(|entry| entry.expect("an entry").path()).collect();
    paths.sort();
    paths
}

/// Appends three turns of a chain to a new log in a folder.
async fn append_three(folder: &Path) {
    let (log, _) = TurnLog::open(folder).expect("the log is opened");
    for (id, previous) in [("1", None), ("2", Some("1")), ("3", Some("2"))] {
        log.append(vec![turn(id, previous)])
            .await
            .expect("the turn is appended");
    }
}

#[tokio::test]
async fn chain_is_read_after_a_restart() {
    let folder = tempfile::tempdir().expect("a scratch folder");
    append_three(folder.path()).await;
    let (log, recovered) = TurnLog::open(folder.path()).expect("the log is opened");
    assert_eq!(recovered.len(), 1);
    assert_eq!((recovered[0].turns, recovered[0].torn_bytes), (3, 0));
    let chain = log.read_chain(key("3")).await.expect("the chain is read");
    assert_eq!(
        chain,
        [turn("3", Some("2")), turn("2", Some("1")), turn("1", None)]
    );
    assert_eq!(log.read_chain(key("4")).await.expect("a result"), []);
    // New turns go to a new segment.
    log.append(vec![turn("4", Some("3"))])
        .await
        .expect("the turn is appended");
    assert_eq!(segments(folder.path()).len(), 2);
}

/// Cuts the segment off at every length: the turns before the cut are found, and nothing else.
#[tokio::test]
async fn torn_segment_loses_only_the_turns_that_were_not_written_completely() {
    let folder = tempfile::tempdir().expect("a scratch folder");
    append_three(folder.path()).await;
    let path = segments(folder.path()).remove(0);
    let bytes = fs::read(&path).expect("the segment is read");
    let mut most_turns = 0;
    for length in 0..=bytes.len() {
        fs::write(&path, &bytes[..length]).expect("the segment is written");
        let (log, recovered) = TurnLog::open(folder.path()).expect("the log is opened");
        let turns = recovered[0].turns;
        assert!(turns == most_turns || turns == most_turns + 1, "{length} bytes");
        most_turns = turns;
        for number in 1..=3 {
            let found = log.contains(&key(&number.to_string()));
            assert_eq!(found, number <= turns, "turn {number} of {length} bytes");
        }
    }
    assert_eq!(most_turns, 3);
}

/// Changes each byte of the last record, as a write that reached the disk in part would.
#[tokio::test]
async fn damaged_record_is_never_read() {
    let folder = tempfile::tempdir().expect("a scratch folder");
    append_three(folder.path()).await;
    let path = segments(folder.path()).remove(0);
    let bytes = fs::read(&path).expect("the segment is read");
    for position in bytes.len() * 2 / 3 + 8..bytes.len() {
        let mut damaged = bytes.clone();
        damaged[position] ^= 0x55;
        fs::write(&path, &damaged).expect("the segment is written");
        let (log, recovered) = TurnLog::open(folder.path()).expect("the log is opened");
        assert!(!log.contains(&key("3")), "byte {position}");
        assert!(recovered[0].torn_bytes > 0);
        assert!(log.contains(&key("2")));
    }
}

#[tokio::test]
async fn append_to_a_folder_that_is_gone_fails_until_it_is_back() {
    let scratch = tempfile::tempdir().expect("a scratch folder");
    let folder = scratch.path().join("turns");
    let (log, _) = TurnLog::open(&folder).expect("the log is opened");
    fs::remove_dir_all(&folder).expect("the folder is removed");
    assert!(log.append(vec![turn("1", None)]).await.is_err());
    assert!(!log.contains(&key("1")));
    fs::create_dir_all(&folder).expect("the folder is created");
    log.append(vec![turn("1", None)])
        .await
        .expect("the turn is appended");
    assert!(log.contains(&key("1")));
}

#[tokio::test]
async fn concurrent_appends_are_all_stored() {
    let folder = tempfile::tempdir().expect("a scratch folder");
    let (log, _) = TurnLog::open(folder.path()).expect("the log is opened");
    let appends = (0..200).map(|number| log.append(vec![turn(&number.to_string(), None)]));
    for result in futures_util::future::join_all(appends).await {
        result.expect("the turn is appended");
    }
    drop(log);
    let (_, recovered) = TurnLog::open(folder.path()).expect("the log is opened");
    assert_eq!(recovered[0].turns, 200);
}

/// Guards against a long conversation that cannot be read to its first turn: a chain that does not fit into one response is read on
/// from an ancestor whose own retention has passed.
#[tokio::test]
async fn chain_in_several_parts_is_read_from_ancestors_that_have_expired_until_they_are_removed() {
    let folder = tempfile::tempdir().expect("a scratch folder");
    let (log, _) = TurnLog::open(folder.path()).expect("the log is opened");
    let long_turn = |id: &str, previous: Option<&str>| Turn {
        expires_unix_ms: 1,
        input: Bytes::from(vec![b'i'; 300 << 10]),
        ..turn(id, previous)
    };
    for (id, previous) in [("1", None), ("2", Some("1")), ("3", Some("2"))] {
        log.append(vec![long_turn(id, previous)])
            .await
            .expect("the turn is appended");
    }
    let newest = log.read_chain(key("3")).await.expect("the chain is read");
    assert_eq!(newest.len(), 2);
    let rest = log.read_chain(key("1")).await.expect("the chain is read");
    assert_eq!(rest, [long_turn("1", None)]);
    log.remove_expired(2000).await.expect("the turns are removed");
    assert_eq!(log.read_chain(key("1")).await.expect("a result"), []);
}

#[tokio::test]
async fn expired_segments_are_removed_whole() {
    let folder = tempfile::tempdir().expect("a scratch folder");
    append_three(folder.path()).await;
    let (log, _) = TurnLog::open(folder.path()).expect("the log is opened");
    let later = Turn {
        stored_until_unix_ms: 5000,
        ..turn("4", Some("3"))
    };
    log.append(vec![later]).await.expect("the turn is appended");
    log.remove_expired(1999).await.expect("nothing is removed");
    assert_eq!(segments(folder.path()).len(), 2);
    log.remove_expired(2000).await.expect("a segment is removed");
    assert_eq!(segments(folder.path()).len(), 1);
    assert!(!log.contains(&key("3")));
    assert!(log.contains(&key("4")));
}
