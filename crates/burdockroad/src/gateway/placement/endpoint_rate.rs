//! Rate of calls that an endpoint takes from all hosts together.

/// What an endpoint states in a response about the rate of calls that it takes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RateStatement {
    /// It states no limit.
    Unlimited,
    /// It takes only so many calls, for as long as it says so.
    Limited {
        /// Calls per second from all hosts together.
        calls_per_s: f64,
    },
    /// It states something that cannot be read, so its last readable statement holds.
    Unreadable,
}

impl RateStatement {
    /// Returns the calls per second that the endpoint takes; `None` if it states no readable limit.
    pub fn calls_per_s(self) -> Option<f64> {
        match self {
            Self::Limited { calls_per_s } => Some(calls_per_s),
            Self::Unlimited | Self::Unreadable => None,
        }
    }
}
