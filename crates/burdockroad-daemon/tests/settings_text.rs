//! Parsing of arbitrary settings text, and the report of limits that differ from their defaults.

use std::path::Path;

use burdockroad_daemon::settings::{Settings, SettingsError};
use proptest::prelude::*;

const VALID: &str = include_str!("settings/valid.jsonc");

#[test]
fn changed_limits_one_override() {
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
fn check_reports_changed_limits() {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/settings/valid.jsonc");
    let report = Settings::check(&path).expect("the settings are valid");
    assert!(
        report.ends_with("site=batinah\nlimits.call_timeout_s=60 default=600"),
        "{report}"
    );
    let faulty = path.with_file_name("faulty.jsonc");
    let error = Settings::check(&faulty).expect_err("the settings are faulty");
    let message = error.to_string();
    assert!(
        message
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
    fn parse_damaged_settings(start in 0..VALID.len(), removed in 1..40_usize) {
        let end = (start + removed).min(VALID.len());
        let text = format!("{}{}", &VALID[..start], &VALID[end..]);
        let error = Settings::parse(&text).err();
        prop_assert!(error.is_none_or(|findings| !findings.is_empty()));
    }
}
