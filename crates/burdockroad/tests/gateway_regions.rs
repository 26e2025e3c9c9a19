//! Regions in which calls and stored turns must stay.

use std::{
    collections::HashMap,
    sync::Arc,
    time::{Duration, Instant},
};

use burdockroad::{
    HostId, RegionId,
    gateway::{
        Endpoint, EndpointReach, EndpointTable, HostLocation, IndexedTurn, Outcome, PlacementQuery,
        RateStatement, RegionMap, RelayCandidate, Turn, TurnKey, common_regions, is_allowed_replica,
        missing_replicas,
    },
};

const SERVICE: &str = "engine";

fn regions(names: &[&str]) -> Vec<RegionId> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

/// Domains `a` and `b` are in the region `north`, `c` is in `south`, and `unknown` is in none.
fn region_map() -> RegionMap {
    let region_of = [("a", "north"), ("b", "north"), ("c", "south")];
    let region_of: HashMap<String, RegionId> = region_of
        .into_iter()
        .map(|(domain, region)| (domain.to_owned(), region.to_owned()))
        .collect();
    RegionMap::new(region_of)
}

fn endpoint(id: &str, failure_domain: &str) -> Endpoint {
    Endpoint {
        id: id.to_owned(),
        service: SERVICE.to_owned(),
        address: ([127, 0, 0, 1], 9000).into(),
        failure_domain: failure_domain.to_owned(),
        slots: 4,
        draining: false,
        started_unix_ms: 1,
        software_version: "v1".to_owned(),
        cold_left: Duration::ZERO,
    }
}

/// Returns a table with an endpoint in each failure domain, which has the name of its domain.
fn table() -> EndpointTable {
    let mut table = EndpointTable::new();
    table.set_regions(Arc::new(region_map()));
    for domain in ["a", "b", "c", "unknown"] {
        table.insert(endpoint(domain, domain));
    }
    table
}

fn chosen(table: &mut EndpointTable, allowed: Option<&[RegionId]>, tried: &[String]) -> Option<String> {
    let query = PlacementQuery {
        service: SERVICE,
        software_version: None,
        failure_domain: "c",
        parts: &[],
        tried,
        avoided: &[],
        in_flight_max: 100,
        is_first: true,
        affinity_key: None,
        allowed_regions: allowed,
    };
    let placement = table.choose(query, rand::random(), Instant::now());
    placement.map(|placement| placement.endpoint.id)
}

fn hosts() -> Vec<HostLocation> {
    let domains = ["a", "a", "b", "c", "c", "unknown"];
    let hosts = domains.iter().enumerate().map(|(number, domain)| HostLocation {
        host: format!("h{number}"),
        failure_domain: (*domain).to_owned(),
    });
    hosts.collect()
}

#[test]
fn common_regions_are_those_that_both_allow() {
    let north = regions(&["north"]);
    let both = regions(&["south", "north"]);
    assert_eq!(common_regions(None, None), None);
    assert_eq!(common_regions(Some(&north), None), Some(north.clone()));
    assert_eq!(common_regions(None, Some(&north)), Some(north.clone()));
    assert_eq!(common_regions(Some(&both), Some(&north)), Some(north.clone()));
    let south = regions(&["south"]);
    assert_eq!(common_regions(Some(&south), Some(&north)), Some(Vec::new()));
    assert_eq!(common_regions(Some(&[]), None), Some(Vec::new()));
}

#[test]
fn allows_only_domains_that_are_known_to_be_in_the_regions() {
    let map = region_map();
    let north = regions(&["north"]);
    let allowed: Vec<&str> = ["a", "b", "c", "unknown", "north"]
        .into_iter()
        .filter(|domain| map.allows(domain, Some(&north)))
        .collect();
    assert_eq!(allowed, ["a", "b"]);
    assert!(map.allows("unknown", None));
    assert!(!map.allows("a", Some(&[])));
    assert!(!RegionMap::default().allows("a", Some(&north)));
}

#[test]
fn choose_for_regions_selects_only_endpoints_there_under_failures_and_load() {
    let now = Instant::now();
    let north = regions(&["north"]);
    let mut table = table();
    // The endpoints elsewhere are in the host's own domain, idle and healthy.
    table.record_outcome("a", Outcome::Failed, now);
    for _ in 0..40 {
        table.start_call("b", &[]);
        let id = chosen(&mut table, Some(&north), &[]);
        assert!(matches!(id.as_deref(), Some("a" | "b")), "{id:?}");
    }
    let tried = ["a".to_owned(), "b".to_owned()];
    assert_eq!(chosen(&mut table, Some(&north), &tried), None);
    assert_eq!(chosen(&mut table, Some(&[]), &[]), None);
    assert!(chosen(&mut table, None, &tried).is_some());
}

#[test]
fn is_usable_in_regions_counts_only_endpoints_there() {
    let mut table = table();
    let north = regions(&["north"]);
    let east = regions(&["east"]);
    assert!(table.is_usable_in(Some(&north), SERVICE, None));
    assert!(!table.is_usable_in(Some(&east), SERVICE, None));
    for domain in ["a", "b"] {
        table.insert(Endpoint {
            draining: true,
            ..endpoint(domain, domain)
        });
    }
    assert!(!table.is_usable_in(Some(&north), SERVICE, None));
    assert!(table.is_usable_in(None, SERVICE, None));
}

/// Programs that are bound to an overloaded region may not start because others are idle.
#[test]
fn load_per_slot_in_regions_counts_only_endpoints_there() {
    let now = Instant::now();
    let mut table = table();
    for _ in 0..8 {
        table.start_call("c", &[]);
    }
    let load = |names: &[&str]| table.load_per_slot_in(Some(&regions(names)), SERVICE, now);
    assert!((load(&["south"]) - 2.0).abs() < 1e-9);
    assert!(load(&["north"]).abs() < 1e-9);
    assert!((table.load_per_slot(SERVICE, now) - 0.5).abs() < 1e-9);
}

/// An endpoint may register again in another domain while a call is retried there.
#[test]
fn choose_follows_an_endpoint_that_moves_to_another_region() {
    let mut table = table();
    let south = regions(&["south"]);
    assert_eq!(chosen(&mut table, Some(&south), &[]).as_deref(), Some("c"));
    table.insert(endpoint("c", "a"));
    assert_eq!(chosen(&mut table, Some(&south), &[]), None);
}

#[test]
fn rate_wait_for_regions_ignores_endpoints_elsewhere() {
    let now = Instant::now();
    let mut table = table();
    table.set_hosts("host".to_owned(), std::iter::empty().collect());
    table.record_rate("c", RateStatement::Limited { calls_per_s: 0.5 }, now);
    while table.endpoint_rate_wait("c", now) == Some(Duration::ZERO) {
        table.start_call("c", &[]);
    }
    let south = regions(&["south"]);
    assert_eq!(table.rate_wait(SERVICE, None, None, now), Some(Duration::ZERO));
    assert_ne!(
        table.rate_wait(SERVICE, None, Some(&south), now),
        Some(Duration::ZERO)
    );
}

#[test]
fn choose_relay_among_allowed_hosts_selects_none_elsewhere() {
    let map = region_map();
    let north = regions(&["north"]);
    let hosts = hosts();
    let reach = EndpointReach::default();
    for (allowed, expected) in [(&*north, true), (&[], false)] {
        let candidates: Vec<RelayCandidate<'_>> = hosts
            .iter()
            .filter(|host| map.allows(&host.failure_domain, Some(allowed)))
            .map(|host| RelayCandidate {
                host: &host.host,
                failure_domain: &host.failure_domain,
            })
            .collect();
        for seed in 0..20 {
            let relay = reach.choose_relay("c", &candidates, seed);
            assert_eq!(relay.is_some(), expected);
            assert!(relay.is_none_or(|relay| ["h0", "h1", "h2"].contains(&&*relay)));
        }
    }
}

fn indexed_turn(number: usize, allowed: Option<Vec<RegionId>>) -> IndexedTurn {
    IndexedTurn {
        key: TurnKey {
            account: "account".to_owned(),
            turn: number.to_string(),
        },
        root: number.to_string(),
        home_domain: "c".to_owned(),
        allowed_regions: allowed,
        stored_until_unix_ms: 0,
    }
}

/// The copies that hosts make of each other's turns, also when hosts are lost, stay in the turns' regions.
#[test]
fn copies_of_turns_stay_in_their_regions_as_hosts_are_lost() {
    let map = region_map();
    let turns: Vec<IndexedTurn> = (0..30)
        .map(|number| indexed_turn(number, (number % 3 > 0).then(|| regions(&["north"]))))
        .collect();
    let mut live = hosts();
    while !live.is_empty() {
        for host in hosts() {
            let missing = missing_replicas(&host.host, &turns, 2, &live, &map, |_| false);
            let is_north = map.allows(&host.failure_domain, Some(&regions(&["north"])));
            let bound = turns.iter().filter(|turn| turn.allowed_regions.is_some());
            let copied = bound.filter(|turn| missing.contains(&&turn.key)).count();
            assert!(is_north || copied == 0, "{} copies {copied}", host.host);
        }
        let of_turn = |turn: &IndexedTurn| -> usize {
            let is_replica = |host: &HostId| is_allowed_replica(host, turn, 2, &live, &map);
            live.iter().filter(|location| is_replica(&location.host)).count()
        };
        let north = map.allowed_hosts(live.clone(), Some(&regions(&["north"]))).len();
        assert!(
            turns
                .iter()
                .skip(1)
                .take(2)
                .all(|turn| of_turn(turn) == north.min(2))
        );
        assert_eq!(of_turn(&turns[0]), live.len().min(2));
        live.remove(0);
    }
}

#[test]
fn turn_of_an_earlier_version_may_be_stored_anywhere() {
    let turn = Turn {
        key: indexed_turn(1, None).key,
        previous: None,
        root: "1".to_owned(),
        home_domain: "a".to_owned(),
        expires_unix_ms: 1,
        stored_until_unix_ms: 2,
        allowed_regions: Some(regions(&["north"])),
        input: "input".into(),
        output: "output".into(),
    };
    let mut record = serde_json::to_value(&turn).expect("it is encoded");
    let read: Turn = serde_json::from_value(record.clone()).expect("it is read");
    assert_eq!(read, turn);
    let fields = record.as_object_mut().expect("an object");
    fields.remove("allowed_regions");
    let earlier: Turn = serde_json::from_value(record).expect("it is read");
    assert_eq!(earlier.allowed_regions, None);
}
