//! Mean times of a service's endpoints.

use std::time::Instant;

use super::{base_time::ServiceTimes, row::INITIAL_TIME_MS, table::EndpointTable};

impl EndpointTable {
    pub(super) fn service_times(&self, service: &str, now: Instant) -> ServiceTimes {
        ServiceTimes {
            mean_ms: self.service_mean_ms(service),
            lacks_reports: self.lacks_reports(now),
        }
    }

    fn service_mean_ms(&self, service: &str) -> f64 {
        if self.pace_changes.contains_key(service) {
            return self.usual_mean_ms(service);
        }
        let measured = self
            .rows
            .values()
            .filter(|row| row.endpoint.service == service && row.sampled_at.is_some());
        let (count, sum) = measured.fold((0.0, 0.0), |(count, sum), row| {
            (count + 1.0, sum + row.mean_first_byte_ms)
        });
        if count > 0.0 { sum / count } else { INITIAL_TIME_MS }
    }
}
