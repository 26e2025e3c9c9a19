//! Wrapper of the platform's host list that publishes the leaving hosts, so that one read of the list
//! serves all of its users.

use std::{collections::BTreeSet, sync::Arc};

use async_trait::async_trait;
use burdockroad::HostId;
use tokio::sync::watch;

use crate::{
    document_source::LeavingReceiver,
    platform::{HostList, HostState, ListedHost, StoreError},
};

/// Host list that also publishes which hosts are leaving each time it is read.
#[derive(Debug)]
pub(super) struct ObservedHostList {
    inner: Arc<dyn HostList>,
    leaving: watch::Sender<Arc<BTreeSet<HostId>>>,
}

impl ObservedHostList {
    pub(super) fn new(inner: Arc<dyn HostList>) -> (Self, LeavingReceiver) {
        let (leaving, receiver) = watch::channel(Arc::default());
        (Self { inner, leaving }, receiver)
    }
}

#[async_trait]
impl HostList for ObservedHostList {
    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        let hosts = self.inner.hosts().await?;
        let leaving = hosts.iter().filter(|host| host.state == HostState::Leaving);
        let leaving = leaving.map(|host| host.host_id.clone()).collect();
        self.leaving
            .send_if_modified(|published| replace(published, leaving));
        Ok(hosts)
    }
}

fn replace(published: &mut Arc<BTreeSet<HostId>>, leaving: BTreeSet<HostId>) -> bool {
    let changed = **published != leaving;
    *published = Arc::new(leaving);
    changed
}
