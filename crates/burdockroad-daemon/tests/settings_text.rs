//! Settings of arbitrary text, and the report of what they change.

use std::path::Path;

use burdockroad_daemon::settings::{Settings, SettingsError};
use proptest::prelude::*;

const VALID: &str = include_str!("settings/valid.jsonc");

#[test]
fn changed_limits_names_one() {
    let settings = Settings::parse(VALID).expect("the settings are valid");
    assert_eq!(
        settings.changed_limits(),
        ["limits.call_timeout_s=60 default=600"]
    );
}

#[test]
fn load_missing_file() {
    let result = Settings::load(Path::new("no/such/file"));
    assert!(
        matches!(result, Err(SettingsError::Unreadable { .. })),
        "{result:?}"
    );
}

#[test]
fn check_tells_changes() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/settings/valid.jsonc");
    let report = Settings::check(&path).expect("the settings are valid");
    assert!(
        report.ends_with("site=batinah\nlimits.call_timeout_s=60 default=600"),
        "{report}"
    );
    let faulty = path.with_file_name("faulty.jsonc");
    let refused = Settings::check(&faulty).expect_err("the settings are faulty");
    let lines = refused.to_string();
    assert!(
        lines
            .lines()
            .all(|line| line.starts_with(&faulty.display().to_string()))
    );
}

proptest! {
    #[test]
    fn parse_arbitrary_bytes(bytes in proptest::collection::vec(any::<u8>(), 0..512)) {
        let _ = Settings::parse(&String::from_utf8_lossy(&bytes));
    }

    #[test]
    fn parse_damaged_settings(at in 0..VALID.len(), removed in 1..40_usize) {
        let end = (at + removed).min(VALID.len());
        let text = format!("{}{}", &VALID[..at], &VALID[end..]);
        let refused = Settings::parse(&text).err();
        prop_assert!(refused.is_none_or(|findings| !findings.is_empty()));
    }
}
