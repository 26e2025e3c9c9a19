//! Log lines written to a file. This is a separate test binary, because a process can start logging only
//! once.

use std::fs;

use burdockroad_daemon::logging::{self, LoggingError};

#[test]
fn start_writes_lines() {
    let result = logging::start("loud", None);
    assert_eq!(result, Err(LoggingError::Level("loud".to_owned())));
    let directory = tempfile::tempdir().expect("the temporary directory is created");
    let file = directory.path().join("log");
    logging::start("info", Some(&file)).expect("logging starts");
    log::info!(target: "burdockroad_daemon", "event=started host={}", "h1");
    log::debug!(target: "burdockroad_daemon", "event=hidden_by_level");
    log::info!(target: "h2", "event=hidden_library");
    log::warn!(target: "h2", "event=library_warns reason={:?}", "a\nb");
    let text = fs::read_to_string(&file).expect("the file was written");
    let lines: Vec<&str> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].starts_with("time=20"), "{text}");
    assert!(
        lines[0].ends_with(" level=INFO target=burdockroad_daemon event=started host=h1"),
        "{text}"
    );
    assert!(
        lines[1].ends_with(r#"event=library_warns reason="a\nb""#),
        "{text}"
    );
}
