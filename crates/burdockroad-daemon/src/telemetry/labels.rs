//! Selection of the accounts with their own metrics label.

use std::collections::{HashMap, HashSet};

use burdockroad::AccountId;

/// Label shared by all accounts without their own label.
const OTHER_ACCOUNTS_LABEL: &str = "other";

/// Label of calls without an account, which occur on open routes.
const NO_ACCOUNT_LABEL: &str = "none";

/// Bounded set of account labels, assigned to the accounts with the most events.
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
    labels_max: usize,
    labelled: HashSet<AccountId>,
    events: HashMap<AccountId, u64>,
}

impl AccountLabels {
    /// Creates a set of at most `labels_max` account labels, not counting the labels of other accounts and
    /// of calls without an account.
    pub fn new(labels_max: usize) -> Self {
        Self {
            labels_max,
            labelled: HashSet::new(),
            events: HashMap::new(),
        }
    }

    /// Records an event of an account and returns the account's label.
    pub fn label(&mut self, account_id: &str) -> String {
        if account_id.is_empty() {
            return NO_ACCOUNT_LABEL.to_owned();
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
        if self.labelled.len() < self.labels_max {
            self.labelled.insert(account_id.to_owned());
            return account_id.to_owned();
        }
        OTHER_ACCOUNTS_LABEL.to_owned()
    }

    /// Reassigns the labels to the accounts with the most events. Event counts are halved at each rotation,
    /// so that older events have less weight.
    pub fn rotate(&mut self) {
        let mut busiest: Vec<(&AccountId, u64)> = self
            .events
            .iter()
            .map(|(account_id, &events)| (account_id, events))
            .collect();
        busiest.sort_by_key(|&(account_id, events)| (std::cmp::Reverse(events), account_id));
        self.labelled = busiest
            .into_iter()
            .take(self.labels_max)
            .map(|(account_id, _)| account_id.clone())
            .collect();
        self.events.retain(|_, events| {
            *events /= 2;
            *events > 0
        });
    }
}
