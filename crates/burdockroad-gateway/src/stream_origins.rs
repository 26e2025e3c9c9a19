//! Sends the software versions of streams to their holders, and asks the holders for them.
//!
//! A version is sent as a datagram before the caller receives the stream's first event. It is sent only while
//! the service has endpoints of several versions; at other times every host knows the version. When a second version
//! appears, the versions of the streams that were not sent follow. Hosts with disks hold versions, too.

use std::{
    net::SocketAddr,
    pin::pin,
    time::{Duration, Instant},
};

use burdockroad::{
    SoftwareVersion,
    gateway::{StreamId, UnsentOrigin, stream_holders},
};
use futures_util::{
    FutureExt, StreamExt,
    future::{BoxFuture, Either, select},
    stream::FuturesUnordered,
};

use crate::{
    peer_messages::{PeerCall, PeerResponse},
    peers::Peer,
    shared::{Shared, Tables},
    stream_origin_message::{StreamOriginMessage, record_stream_origin},
    turn_store::messages::{TurnCall, TurnResponse},
    version_check::{VersionCheck, check_only_version},
};

/// Timeout of a request for a stream's version. It is well below the latency objective of a stream.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(100);

/// Time after the caller's deadline for which the version of its stream is held.
const EXPIRY_MARGIN: Duration = Duration::from_secs(1);

/// Longest time for which the version of a stream is held, whatever deadline its caller states.
const LIFETIME_MAX: Duration = Duration::from_mins(1);

/// What a host knows of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StreamVersion {
    pub(crate) version: SoftwareVersion,
    pub(crate) known_from: KnownFrom,
}

/// Where a stream's version is known from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum KnownFrom {
    /// This host began the stream or holds its version.
    OwnTable,
    /// Another gateway host holds it.
    Host,
    /// A host with a disk holds it.
    DiskHost,
    /// The service has had one version only.
    OnlyVersion,
}

impl KnownFrom {
    /// Returns the name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::OwnTable => "own_table",
            Self::Host => "host",
            Self::DiskHost => "disk_host",
            Self::OnlyVersion => "only_version",
        }
    }
}

/// What was found out about the version that began a stream.
#[derive(Debug, Default)]
pub(crate) struct VersionLookup {
    /// The version; `None` when it is not known.
    pub(crate) version: Option<StreamVersion>,
    /// Holders that were asked.
    pub(crate) holders_asked: usize,
    /// Holders whose answer arrived, whether or not they hold the version.
    pub(crate) holders_answered: usize,
    /// Result of the check of the only version; `None` if there was none.
    pub(crate) check: Option<VersionCheck>,
}

/// The only version of a service that this host knows, after a check.
#[derive(Debug)]
struct CheckedVersion {
    version: SoftwareVersion,
    check: VersionCheck,
}

impl VersionLookup {
    fn of(version: SoftwareVersion, known_from: KnownFrom) -> Self {
        Self {
            version: Some(StreamVersion { version, known_from }),
            ..Self::default()
        }
    }

    /// Adds the only version of the service if no holder holds the version of the stream.
    fn or_only_version(mut self, checked: Option<CheckedVersion>) -> Self {
        self.check = checked.as_ref().map(|checked| checked.check);
        let all_answered = self.holders_asked > 0 && self.holders_answered == self.holders_asked;
        let only_version = checked.filter(|checked| checked.check.is_only_version(all_answered));
        self.version = self.version.or(only_version.map(|checked| StreamVersion {
            version: checked.version,
            known_from: KnownFrom::OnlyVersion,
        }));
        self
    }
}

/// Answer of a holder that was asked for the version of a stream.
#[derive(Debug)]
enum HolderAnswer {
    Holds(StreamVersion),
    HoldsNone,
    /// The answer did not arrive in time.
    Missing,
}

impl HolderAnswer {
    fn new(version: Option<SoftwareVersion>, known_from: KnownFrom) -> Self {
        version.map_or(Self::HoldsNone, |version| {
            Self::Holds(StreamVersion { version, known_from })
        })
    }
}

/// Records the version that begins a stream at this host, and sends it to the holders of the stream while the
/// service has several versions. `time_left` is the time until the caller's deadline.
pub(crate) fn announce(
    shared: &Shared,
    service: &str,
    stream: &StreamId,
    version: &SoftwareVersion,
    time_left: Duration,
) {
    let now = Instant::now();
    let lifetime = (time_left + EXPIRY_MARGIN).min(LIFETIME_MAX);
    let mut tables = shared.tables();
    let has_one_version = tables.only_version(service, now).is_some();
    tables
        .stream_origins
        .record(stream.clone(), version.clone(), lifetime, now);
    if has_one_version {
        let origin = UnsentOrigin {
            stream: stream.clone(),
            version: version.clone(),
            expires_at: now + lifetime,
        };
        tables.unsent_origins.record(service, origin);
        return;
    }
    drop(tables);
    send(
        shared,
        &StreamOriginMessage::new(stream.clone(), version.clone(), lifetime),
    );
}

/// Sends the versions of the streams of a service that were not sent, if the service has several versions now.
pub(crate) fn send_unsent_origins(shared: &Shared, service: &str) {
    let now = Instant::now();
    let mut tables = shared.tables();
    if tables.only_version(service, now).is_some() {
        return;
    }
    let unsent = tables.unsent_origins.take(service, now);
    drop(tables);
    for origin in unsent {
        let lifetime = origin.expires_at.saturating_duration_since(now);
        send(
            shared,
            &StreamOriginMessage::new(origin.stream, origin.version, lifetime),
        );
    }
}

/// Sends the version of a stream to its holders. A lost datagram leaves the other holders.
fn send(shared: &Shared, message: &StreamOriginMessage) {
    let Some(datagram) = message.to_datagram() else {
        metrics::counter!("burdockroad_stream_origins_unsent_total").increment(1);
        return;
    };
    let hosts = holders(shared, &message.stream)
        .into_iter()
        .map(|peer| peer.address);
    for address in hosts.chain(shared.turns.stream_holders(&message.stream)) {
        if shared.datagrams.try_send_to(&datagram, address).is_err() {
            metrics::counter!("burdockroad_stream_origins_unsent_total").increment(1);
        }
    }
}

/// Records a version that another host has sent.
pub(crate) fn receive(shared: &Shared, message: &[u8]) {
    record_stream_origin(&mut shared.tables().stream_origins, message, Instant::now());
}

/// Returns the version that began a stream, by what this host knows.
pub(crate) fn known_version(shared: &Shared, stream: &str) -> Option<SoftwareVersion> {
    let tables = shared.tables();
    tables.stream_origins.version(stream, Instant::now()).cloned()
}

/// Returns what is known of the version at which a stream that a caller takes up has to continue.
///
/// The holders of the stream are asked even while this host knows one version only, because another host may
/// have learned of a second one earlier. The only version counts only if a check finds no other one
/// ([`VersionCheck::is_only_version`]): a holder that does not answer may hold another version, and a host that was
/// cut off or suspended may not have applied the entries of newer endpoints.
pub(crate) async fn version_of(shared: &Shared, service: &str, stream: Option<&StreamId>) -> VersionLookup {
    let held = stream.and_then(|stream| known_version(shared, stream));
    if let Some(version) = held {
        return VersionLookup::of(version, KnownFrom::OwnTable);
    }
    let asking = pin!(ask_holders(shared, stream));
    let checking = pin!(check_versions(shared, service));
    match select(asking, checking).await {
        Either::Left((lookup, _)) if lookup.version.is_some() => lookup,
        Either::Left((lookup, checking)) => lookup.or_only_version(checking.await),
        Either::Right((checked, asking)) => asking.await.or_only_version(checked),
    }
}

/// Checks whether the service has only one version; `None` if this host knows of several versions or of none.
async fn check_versions(shared: &Shared, service: &str) -> Option<CheckedVersion> {
    let version = shared.tables().only_version(service, Instant::now())?;
    let mut check = check_only_version(shared, service, &version).await;
    // Another version may have been applied meanwhile.
    if shared.tables().only_version(service, Instant::now()).as_ref() != Some(&version) {
        check = VersionCheck::OtherVersion;
    }
    Some(CheckedVersion { version, check })
}

/// Asks the holders of a stream at once, until one of them holds its version.
async fn ask_holders(shared: &Shared, stream: Option<&StreamId>) -> VersionLookup {
    let mut lookup = VersionLookup::default();
    let Some(stream) = stream else {
        return lookup;
    };
    let mut answers: FuturesUnordered<BoxFuture<'_, HolderAnswer>> = FuturesUnordered::new();
    for holder in holders(shared, stream) {
        answers.push(ask_host(shared, holder, stream.clone()).boxed());
    }
    for address in shared.turns.stream_holders(stream) {
        answers.push(ask_disk_host(shared, address, stream.clone()).boxed());
    }
    lookup.holders_asked = answers.len();
    while let Some(answer) = answers.next().await {
        match answer {
            HolderAnswer::Holds(version) => {
                lookup.holders_answered += 1;
                lookup.version = Some(version);
                break;
            }
            HolderAnswer::HoldsNone => lookup.holders_answered += 1,
            HolderAnswer::Missing => {}
        }
    }
    lookup
}

async fn ask_host(shared: &Shared, holder: Peer, stream: StreamId) -> HolderAnswer {
    let call = PeerCall::StreamVersion { stream };
    let response = shared
        .peer_client
        .call(holder.address, &call, REQUEST_TIMEOUT)
        .await;
    match response {
        Ok(PeerResponse::StreamVersion(version)) => HolderAnswer::new(version, KnownFrom::Host),
        Ok(_) | Err(_) => HolderAnswer::Missing,
    }
}

async fn ask_disk_host(shared: &Shared, address: SocketAddr, stream: StreamId) -> HolderAnswer {
    let call = TurnCall::StreamVersion { stream };
    let response = shared.peer_client.call(address, &call, REQUEST_TIMEOUT).await;
    match response {
        Ok(TurnResponse::StreamVersion(version)) => HolderAnswer::new(version, KnownFrom::DiskHost),
        Ok(_) | Err(_) => HolderAnswer::Missing,
    }
}

/// Returns the holders of a stream other than this host.
fn holders(shared: &Shared, stream: &str) -> Vec<Peer> {
    let peers = shared.peers.borrow();
    let hosts = peers.keys().cloned().chain([shared.host.clone()]);
    let holders = stream_holders(stream, hosts);
    holders
        .iter()
        .filter_map(|host| peers.get(host).cloned())
        .collect()
}

impl Tables {
    /// Returns the software version of a service if it has had only one recently; `None` before the durable records
    /// of versions and the endpoints were read.
    pub(crate) fn only_version(&self, service: &str, now: Instant) -> Option<SoftwareVersion> {
        if self.host_count == 0 || !self.has_read_endpoints {
            return None;
        }
        let present = self.endpoints.software_versions(service);
        self.version_history.only_version(service, present, now)
    }
}
