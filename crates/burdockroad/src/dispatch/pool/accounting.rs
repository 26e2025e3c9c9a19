//! Service that accounts are charged for, and the time that slots are occupied.

use std::time::Duration;

use super::{Pool, SlotRow};
use crate::dispatch::{Report, fairness};

/// Weight of the latest sample in the moving average of the service time.
const TIME_SMOOTHING: f64 = 0.05;

impl Pool {
    /// Replaces the service that was charged for a call when it was assigned with the service that it received.
    pub(super) fn correct_charge(&mut self, slot: &SlotRow, report: &Report) {
        let prompt_tokens = if report.prompt_tokens > 0 {
            report.prompt_tokens
        } else {
            slot.prompt_tokens
        };
        let received_service = if report.failed {
            0
        } else {
            fairness::service(prompt_tokens, report.cached_tokens, report.output_tokens)
        };
        if received_service > slot.charged {
            self.queue
                .charge(&slot.account_id, received_service - slot.charged);
        } else {
            self.queue
                .refund(&slot.account_id, slot.charged - received_service);
        }
        if !report.failed {
            self.queue.record_output(&slot.account_id, report.output_tokens);
        }
    }

    pub(super) fn record_service_time(&mut self, service_time: Duration) {
        let sample_s = service_time.as_secs_f64();
        if self.mean_service_s == 0.0 {
            self.mean_service_s = sample_s;
        } else {
            self.mean_service_s += (sample_s - self.mean_service_s) * TIME_SMOOTHING;
        }
    }
}
