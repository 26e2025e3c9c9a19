//! Placement with the largest numbers that entries, endpoints and reports may state.

use std::time::{Duration, Instant};

use burdockroad::gateway::{
    Endpoint, EndpointCalls, EndpointTable, HostReservation, Ledger, LedgerOptions, LoadReading, Outcome,
    Placement, PlacementQuery, Readiness, StoreResponse, StoredBudget, VersionedBudget,
};

const SERVICE: &str = "engine";

/// Creates a table with one endpoint of 8 slots and two whose entries state the largest number of slots.
fn table() -> EndpointTable {
    let mut table = EndpointTable::new();
    for (index, slots) in [8, u32::MAX, u32::MAX].into_iter().enumerate() {
        table.insert(Endpoint {
            id: format!("endpoint-{index}"),
            service: SERVICE.to_owned(),
            address: ([127, 0, 0, 1], 9000).into(),
            failure_domain: "domain".to_owned(),
            slots,
            draining: false,
            started_unix_ms: u64::MAX,
            software_version: "v1".to_owned(),
            cold_left: Duration::MAX,
        });
    }
    table
}

fn place(table: &mut EndpointTable, affinity_key: Option<&str>, now: Instant) -> Placement {
    let query = PlacementQuery {
        service: SERVICE,
        software_version: None,
        failure_domain: "domain",
        parts: &[],
        tried: &[],
        avoided: &[],
        in_flight_max: 100,
        is_first: true,
        affinity_key,
        allowed_regions: None,
    };
    let placement = table.choose(query, 1, now).expect("an endpoint is left");
    assert!(placement.expected_ms.is_finite(), "{placement:?}");
    placement
}

/// Guards against a sum of slots that overflows: no load, or more than there are calls.
#[test]
fn load_per_slot_of_endpoints_with_the_most_slots_is_low() {
    let now = Instant::now();
    let mut table = table();
    for index in 0..3 {
        table.start_call(&format!("endpoint-{index}"), &[]);
    }
    let load = table.load_per_slot(SERVICE, now);
    assert!(load > 0.0 && load < 1e-6, "{load}");
}

/// Guards against a mean load that overflows while the preferred endpoint of a key is chosen.
#[test]
fn choose_with_key_places_calls_beside_endpoints_with_the_most_slots() {
    place(&mut table(), Some("object"), Instant::now());
}

/// Guards against an assumed number of calls that overflows after an endpoint with the most slots was full.
#[test]
fn choose_places_calls_after_endpoints_with_the_most_slots_were_full() {
    let now = Instant::now();
    let mut table = table();
    for index in 0..3 {
        let id = format!("endpoint-{index}");
        table.start_call(&id, &[]);
        table.record_outcome(&id, Outcome::Full, now);
    }
    place(&mut table, None, now);
    place(&mut table, Some("object"), now);
    let load = table.load_per_slot(SERVICE, now);
    assert!(load > 0.1 && load <= 1.0, "{load}");
}

/// Guards against a load that overflows when an endpoint or a report states the largest numbers.
#[test]
fn choose_places_calls_beside_the_largest_loads() {
    let now = Instant::now();
    let mut table = table();
    let load = LoadReading {
        running: u32::MAX,
        waiting: u32::MAX,
        pace_percent: None,
    };
    table.start_call("endpoint-0", &[]);
    table.record_load("endpoint-0", load, now);
    assert_ne!(place(&mut table, None, now).endpoint.id, "endpoint-0");
    let calls = [EndpointCalls {
        endpoint: "endpoint-1".to_owned(),
        calls: u32::MAX,
    }];
    table.start_call("endpoint-1", &[]);
    table.record_peer(&"host-1".to_owned(), &calls, now);
    table.record_peer(&"host-2".to_owned(), &calls, now);
    assert_ne!(place(&mut table, None, now).endpoint.id, "endpoint-1");
    assert!(table.load_per_slot(SERVICE, now).is_finite());
}

/// Guards against a budget that counts as unspent because the tokens of a stored record overflow.
#[test]
fn take_refuses_a_budget_whose_record_states_the_largest_numbers() {
    let program = "program".to_owned();
    let now = Instant::now();
    let reservations = [1, 2].map(|incarnation| HostReservation {
        incarnation,
        reserved_tokens: u64::MAX,
        write_id: 1,
    });
    for (spent_tokens, reservations) in [(u64::MAX, Vec::new()), (0, reservations.to_vec())] {
        let mut ledger = Ledger::new(LedgerOptions::default(), 7);
        ledger.add_waiter(&program, 200, 72, true, now);
        let budget = StoredBudget {
            spent_tokens,
            reservations,
        };
        let found = VersionedBudget { budget, revision: 3 };
        ledger.complete(&program, StoreResponse::Found(Some(found)));
        let readiness = ledger.take(&program, 72);
        assert!(matches!(readiness, Readiness::Exhausted | Readiness::AwaitTokens));
        for write in ledger.next_writes(1) {
            assert!(write.budget.spent_tokens >= spent_tokens);
        }
    }
}

/// Guards against calls whose callers state the largest number of tokens.
#[test]
fn take_refuses_calls_of_the_most_tokens() {
    let program = "program".to_owned();
    let now = Instant::now();
    let mut ledger = Ledger::new(LedgerOptions::default(), 7);
    ledger.add_waiter(&program, 200, 72, false, now);
    ledger.add_waiter(&program, 200, u64::MAX, false, now);
    ledger.add_waiter(&program, 200, u64::MAX, false, now);
    assert_eq!(ledger.take(&program, 72), Readiness::AwaitWrite);
    assert_eq!(ledger.next_writes(1).len(), 1);
    ledger.complete(&program, StoreResponse::Written(3));
    assert_eq!(ledger.take(&program, 72), Readiness::Ready);
    ledger.settle(&program, 72, 72, now);
    assert_eq!(ledger.take(&program, u64::MAX), Readiness::Exhausted);
}
