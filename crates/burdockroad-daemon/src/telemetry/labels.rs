//! Which accounts have a label of their own.

use std::collections::{HashMap, HashSet};

use burdockroad::AccountId;

/// Label of all accounts that have none of their own.
const OTHER: &str = "other";

/// Label of calls without an account, on open routes.
const NONE: &str = "none";

/// A bounded set of account labels, given to the accounts with the most events.
///
/// # Example
///
/// ```
/// use burdockroad_daemon::telemetry::AccountLabels;
///
/// let mut labels = AccountLabels::new(1);
/// assert_eq!(labels.label("a"), "a");
/// assert_eq!(labels.label("b"), "other");
/// assert_eq!(labels.label("b"), "other");
/// labels.rotate();
/// assert_eq!(labels.label("b"), "b");
/// ```
#[derive(Debug)]
pub struct AccountLabels {
    count_max: usize,
    labelled: HashSet<AccountId>,
    events: HashMap<AccountId, u64>,
}

impl AccountLabels {
    /// Makes a set of at most `count_max` labels, besides those for other and for no account.
    pub fn new(count_max: usize) -> Self {
        Self {
            count_max,
            labelled: HashSet::new(),
            events: HashMap::new(),
        }
    }

    /// Counts an event of an account, and returns the account's label.
    pub fn label(&mut self, account_id: &str) -> String {
        if account_id.is_empty() {
            return NONE.to_owned();
        }
        match self.events.get_mut(account_id) {
            Some(events) => *events += 1,
            None => {
                self.events.insert(account_id.to_owned(), 1);
            }
        }
        if self.labelled.contains(account_id) {
            return account_id.to_owned();
        }
        if self.labelled.len() < self.count_max {
            self.labelled.insert(account_id.to_owned());
            return account_id.to_owned();
        }
        OTHER.to_owned()
    }

    /// Gives the labels to the accounts with the most events, of which older ones count less.
    pub fn rotate(&mut self) {
        let mut busiest: Vec<(&AccountId, u64)> = self
            .events
            .iter()
            .map(|(account_id, &events)| (account_id, events))
            .collect();
        busiest.sort_by_key(|&(account_id, events)| (std::cmp::Reverse(events), account_id));
        self.labelled = busiest
            .into_iter()
            .take(self.count_max)
            .map(|(account_id, _)| account_id.clone())
            .collect();
        self.events.retain(|_, events| {
            *events /= 2;
            *events > 0
        });
    }
}
