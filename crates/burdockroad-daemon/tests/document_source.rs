//! The limits, weights and draining hosts that quota and dispatch read from the configuration document
//! in force.

use std::{collections::BTreeSet, sync::Arc};

use burdockroad::{
    Document,
    config::{Account, VersionedDocument},
};
use burdockroad_daemon::{
    config_watch::InForce, dispatch::PoolSource, document_source::DocumentSource, quota::AccountLimits,
};
use tokio::sync::watch;

fn in_force(version: u64, rate_per_s: f64) -> Arc<InForce> {
    let account = Account {
        id: "account-a".to_owned(),
        rate_per_s,
        burst: 5,
        weight: 2.0,
        keys: Vec::new(),
    };
    Arc::new(InForce::fixed(VersionedDocument {
        version,
        text: String::new(),
        document: Document {
            accounts: vec![account],
            ..Document::default()
        },
    }))
}

#[test]
fn version_after_changes() {
    let (document, receiver) = watch::channel(in_force(1, 10.0));
    let (draining, draining_receiver) = watch::channel(Arc::new(BTreeSet::new()));
    let source = DocumentSource::new(receiver, draining_receiver);
    let first = source.version();
    assert_eq!(source.version(), first);

    document.send_replace(in_force(2, 20.0));
    let second = source.version();
    assert_ne!(second, first);
    let limits = source
        .limits(&"account-a".to_owned())
        .expect("the document contains the account");
    assert!((limits.rate_per_s - 20.0).abs() < f64::EPSILON);
    assert!((source.weight(&"account-a".to_owned()) - 2.0).abs() < f64::EPSILON);
    assert_eq!(source.limits(&"account-b".to_owned()), None);

    draining.send_replace(Arc::new(BTreeSet::from(["engine-host-1".to_owned()])));
    assert_ne!(source.version(), second);
    assert!(source.draining_hosts().contains("engine-host-1"));
}
