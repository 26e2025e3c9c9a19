//! One run of a daemon on a host.

use serde::{Deserialize, Serialize};

use crate::ids::{HostId, Incarnation};

/// One run of a daemon on a host.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// The host.
    pub host_id: HostId,
    /// The run.
    pub incarnation: Incarnation,
}
