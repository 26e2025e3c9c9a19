//! Gateway host that forwards calls which carry their conversation history or name the turn they continue.
//!
//! All hosts run the same process. It follows the configuration and the endpoints in the shared store, admits
//! calls within the rate limits of their accounts, reserves tokens of programs' budgets, and forwards each
//! call to an endpoint. A call that must not be repeated is sent at most once. [`burdockroad::gateway`] makes
//! the decisions; this crate performs the I/O and the waiting.
//!
//! # Guide
//!
//! * [`run`] runs a host with the given [`HostOptions`], and [`run_disk_host`] a host that stores turns.
//! * [`Dialect`] translates headers and stored values, and [`SharedStore`] is the interface of the store.
//! * [`TurnLog`] stores the turns of conversations on a disk.
//! * [`DecisionLog`] writes one log line for each decision and never blocks the calls.

mod admitted_call;
mod allocator;
mod announced_range;
mod applied_revisions;
mod attempt;
mod body_discard;
mod budget_messages;
mod budget_owner;
mod budgets;
mod call;
mod call_record;
mod call_timeout;
mod clock;
mod cold_endpoints;
mod collected_reports;
mod connections;
mod content_meter;
mod crash_checks;
mod crash_detection;
mod decision_log;
mod dialect;
mod disk_host;
mod endpoint_path;
mod endpoint_view;
mod failed_polls;
mod feed;
mod follow;
mod framing;
mod hosts;
mod kept_turn;
mod listener;
mod memory;
mod message_server;
mod metrics_page;
mod misdirected;
mod operator;
mod options;
mod overdrafts;
mod peer;
mod peer_client;
mod peer_messages;
mod peers;
mod pool;
mod process;
mod range_log;
mod range_view;
mod refusal;
mod registration;
mod relay;
mod reports;
mod reservations;
mod response_body;
mod server;
mod shared;
mod shutdown;
mod store;
mod store_messages;
mod store_outage;
mod store_writes;
mod stream;
mod stream_origin_message;
mod stream_origins;
mod time_error;
mod token_wait;
mod tokens_elsewhere;
mod tunnel;
mod tunnel_frames;
mod tunnel_server;
mod turn_store;
mod unreadable_keys;
mod unreturned_tokens;
mod unseen_versions;
mod update_client;
mod update_message;
mod update_server;
mod version_check;
mod version_records;

pub use self::{
    allocator::return_large_blocks,
    decision_log::DecisionLog,
    dialect::{
        CallHead, DecodeError, Dialect, EndpointPhase, ForwardHead, ForwardedHead, InvalidHead, OperatorKey,
        ProgramHead, ResponseHead, TokenCount,
    },
    disk_host::{DiskHostOptions, run_disk_host},
    options::HostOptions,
    process::{HostError, Signals, run},
    range_log::{RangeLog, RangeUpdate},
    store::{
        Change, Changes, ConditionalWrite, KeyState, LeaseId, RangeSnapshot, SharedStore, WriteOutcome,
        count_dropped_items,
    },
    turn_store::log::{RecoveredSegment, TurnLog},
};
