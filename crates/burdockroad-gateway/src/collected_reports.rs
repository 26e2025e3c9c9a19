//! Reports that a collector has not sent yet.

use std::sync::{Mutex, PoisonError};

/// Reports that were collected since they were last sent.
#[derive(Debug, Default)]
pub(crate) struct CollectedReports {
    reports: Mutex<Vec<Vec<u8>>>,
}

impl CollectedReports {
    /// Adds an encoded report.
    pub(crate) fn add(&self, report: Vec<u8>) {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        reports.push(report);
    }

    /// Takes the reports out.
    pub(crate) fn take(&self) -> Vec<Vec<u8>> {
        let mut reports = self.reports.lock().unwrap_or_else(PoisonError::into_inner);
        std::mem::take(&mut *reports)
    }
}
