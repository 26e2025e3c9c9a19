//! Transactions, which run one of two branches depending on comparisons.

use std::collections::{BTreeSet, VecDeque};

use burdockroad_proto::{
    etcdserverpb::{
        Compare, RequestOp, ResponseOp, TxnRequest, TxnResponse,
        compare::{CompareResult, CompareTarget, TargetUnion},
        request_op::Request as Op,
        response_op::Response as OpResponse,
    },
    mvccpb::KeyValue,
};

use super::{Store, event_revision};
use crate::kv::{
    key_range::{KeyRange, overlaps},
    refusal::Refusal,
};

impl Store {
    /// Runs a transaction.
    ///
    /// All comparisons, including nested ones, are evaluated first. The selected branches are then applied
    /// as one revision.
    pub(crate) fn txn(&mut self, request: &TxnRequest) -> Result<TxnResponse, Refusal> {
        self.check_txn(request)?;
        let mut branches = VecDeque::new();
        self.select_branches(request, &mut branches);
        let revision = self.revision + 1;
        let mut response = self.apply_txn(request, revision, &mut branches);
        if self
            .history
            .back()
            .is_some_and(|event| event_revision(event) == revision)
        {
            self.revision = revision;
        }
        response.header = Some(self.header());
        Ok(response)
    }

    fn check_txn(&self, request: &TxnRequest) -> Result<(), Refusal> {
        if request.compare.iter().any(|compare| compare.key.is_empty()) {
            return Err(Refusal::KeyMissing);
        }
        for branch in [&request.success, &request.failure] {
            self.check_branch(branch)?;
        }
        Ok(())
    }

    fn check_branch(&self, branch: &[RequestOp]) -> Result<(), Refusal> {
        let mut put_keys = BTreeSet::new();
        let mut deleted = Vec::new();
        for op in branch {
            match &op.request {
                None => return Err(Refusal::KeyMissing),
                Some(Op::RequestRange(range)) => {
                    KeyRange::new(&range.key, &range.range_end)?;
                    self.check_revision(range.revision)?;
                }
                Some(Op::RequestPut(put)) => {
                    self.check_put(put)?;
                    if !put_keys.insert(put.key.clone()) {
                        return Err(Refusal::DuplicateKey);
                    }
                }
                Some(Op::RequestDeleteRange(delete)) => {
                    deleted.push(KeyRange::new(&delete.key, &delete.range_end)?);
                }
                Some(Op::RequestTxn(nested)) => self.check_txn(nested)?,
            }
        }
        if overlaps(&deleted, &put_keys) {
            return Err(Refusal::DuplicateKey);
        }
        Ok(())
    }

    /// Evaluates the comparisons of a transaction, then those of the nested transactions in the selected
    /// branch, and appends the result of each transaction to `branches`.
    fn select_branches(&self, request: &TxnRequest, branches: &mut VecDeque<bool>) {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.compare_succeeds(compare));
        branches.push_back(succeeded);
        for op in branch_of(request, succeeded) {
            if let Some(Op::RequestTxn(nested)) = &op.request {
                self.select_branches(nested, branches);
            }
        }
    }

    /// Returns whether a comparison succeeds.
    ///
    /// For an absent key, every comparison of the value fails, and the numbers compare as 0.
    fn compare_succeeds(&self, compare: &Compare) -> bool {
        let entry = self.keys.get(&compare.key);
        let entry_field = |field: fn(&KeyValue) -> i64| entry.map_or(0, field);
        let ordering = match (compare.target(), &compare.target_union) {
            (CompareTarget::Value, union) => {
                let Some(entry) = entry else {
                    return false;
                };
                let expected: &[u8] = match union {
                    Some(TargetUnion::Value(value)) => value,
                    _ => &[],
                };
                entry.value.as_slice().cmp(expected)
            }
            (CompareTarget::Version, union) => {
                entry_field(|entry| entry.version).cmp(&expected_number(union.as_ref()))
            }
            (CompareTarget::Create, union) => {
                entry_field(|entry| entry.create_revision).cmp(&expected_number(union.as_ref()))
            }
            (CompareTarget::Mod, union) => {
                entry_field(|entry| entry.mod_revision).cmp(&expected_number(union.as_ref()))
            }
            (CompareTarget::Lease, union) => {
                entry_field(|entry| entry.lease).cmp(&expected_number(union.as_ref()))
            }
        };
        match compare.result() {
            CompareResult::Equal => ordering.is_eq(),
            CompareResult::Greater => ordering.is_gt(),
            CompareResult::Less => ordering.is_lt(),
            CompareResult::NotEqual => ordering.is_ne(),
        }
    }

    fn apply_txn(
        &mut self,
        request: &TxnRequest,
        revision: i64,
        branches: &mut VecDeque<bool>,
    ) -> TxnResponse {
        let succeeded = branches.pop_front().unwrap_or_default();
        let branch = branch_of(request, succeeded);
        let responses = branch
            .iter()
            .map(|op| ResponseOp {
                response: op
                    .request
                    .as_ref()
                    .map(|op| self.apply_op(op, revision, branches)),
            })
            .collect();
        TxnResponse {
            header: None,
            succeeded,
            responses,
        }
    }

    fn apply_op(&mut self, op: &Op, revision: i64, branches: &mut VecDeque<bool>) -> OpResponse {
        match op {
            // The request was checked before, so it cannot be refused here.
            Op::RequestRange(range) => OpResponse::ResponseRange(self.range(range).unwrap_or_default()),
            Op::RequestPut(put) => OpResponse::ResponsePut(self.apply_put(put, revision)),
            Op::RequestDeleteRange(delete) => {
                OpResponse::ResponseDeleteRange(self.apply_delete(delete, revision))
            }
            Op::RequestTxn(nested) => OpResponse::ResponseTxn(self.apply_txn(nested, revision, branches)),
        }
    }
}

fn branch_of(request: &TxnRequest, succeeded: bool) -> &[RequestOp] {
    if succeeded {
        &request.success
    } else {
        &request.failure
    }
}

fn expected_number(union: Option<&TargetUnion>) -> i64 {
    match union {
        Some(
            TargetUnion::Version(number)
            | TargetUnion::CreateRevision(number)
            | TargetUnion::ModRevision(number)
            | TargetUnion::Lease(number),
        ) => *number,
        _ => 0,
    }
}
