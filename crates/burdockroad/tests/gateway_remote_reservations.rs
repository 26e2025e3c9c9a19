//! Tests of reservations for calls of other hosts.

use std::time::{Duration, Instant};

use burdockroad::gateway::{
    AddedReservation, LocalAccount, RemoteReservation, RemoteReservationId, RemoteReservations,
};

const LIFETIME: Duration = Duration::from_secs(5);

fn id(number: u64) -> RemoteReservationId {
    RemoteReservationId {
        call_id: "call".to_owned(),
        number,
    }
}

fn reservation(now: Instant) -> RemoteReservation {
    RemoteReservation {
        program: "program".to_owned(),
        max_tokens: 100,
        account: LocalAccount::Ledger,
        expires_at: now + LIFETIME,
    }
}

/// Guards against tokens that nobody returns, because their release overtook the request for them.
#[test]
fn add_after_its_release_is_returned() {
    let now = Instant::now();
    let mut reservations = RemoteReservations::default();
    assert_eq!(reservations.release(id(1), now), None);
    assert!(reservations.is_released(&id(1)));
    let added = reservations.add(id(1), reservation(now));
    assert_eq!(added, AddedReservation::Released(reservation(now)));
    assert!(!reservations.contains(&id(1)));
    assert!(reservations.take_expired(now + LIFETIME).is_empty());
}

/// Guards against a late release of one reservation that frees the tokens of another one.
#[test]
fn release_concerns_one_reservation_of_a_call_id() {
    let now = Instant::now();
    let mut reservations = RemoteReservations::default();
    assert_eq!(reservations.add(id(1), reservation(now)), AddedReservation::Added);
    assert_eq!(reservations.release(id(2), now), None);
    assert!(reservations.contains(&id(1)) && !reservations.contains(&id(2)));
    assert_eq!(reservations.release(id(1), now), Some(reservation(now)));
    assert_eq!(reservations.release(id(1), now), None);
}

#[test]
fn take_expired_returns_old_reservations_and_forgets_old_releases() {
    let now = Instant::now();
    let mut reservations = RemoteReservations::default();
    reservations.add(id(1), reservation(now));
    assert!(reservations.take_expired(now).is_empty());
    reservations.release(id(2), now);
    assert_eq!(reservations.take_expired(now + LIFETIME), [reservation(now)]);
    assert!(reservations.is_released(&id(2)));
    reservations.take_expired(now + 4 * LIFETIME);
    assert!(!reservations.is_released(&id(2)));
}
