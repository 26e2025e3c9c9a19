//! Program ordering and rate limiting without the daemon.
//!
//! This example takes the role of a host: it keeps the journal in a list, replaces endpoints by a
//! function, and acquires a token from the account's bucket before each call.

use std::time::{Duration, Instant, SystemTime};

use burdockroad::{
    Record,
    program::{
        Budget, CallDecision, CallKind, CallRequest, CallResponse, NewProgram, Outcome, Placement, Programs,
        ProgramsOptions, Replay,
    },
    quota::{Admission, Bucket, Holder, Limits},
};

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let mut journal = Vec::new();
    let mut programs = Programs::new(ProgramsOptions::default());
    let mut limiter = AccountLimiter::new(Limits {
        rate_per_s: 5.0,
        burst: 2,
    });
    let program_id = burdockroad::program_id(7, "example");
    let budget = Budget {
        max_tokens: 100,
        max_calls: 10,
        max_duration: Duration::from_mins(1),
    };
    let new = NewProgram {
        program_id: program_id.clone(),
        account_id: "trust".to_owned(),
        parent_id: None,
        budget,
    };
    journal.push(programs.create(new, SystemTime::now())?);
    for number in 1..=4 {
        let waited = limiter.acquire();
        journal.extend(run(&mut programs, &program_id, number)?);
        println!("call={number} waited_ms={}", waited.as_millis());
    }
    let repeated = programs.begin(request(&program_id, 2), SystemTime::now())?;
    println!("repeated_call={repeated:?}");

    // Another process can rebuild the program from its records.
    let mut replay = Replay::new();
    for record in journal {
        replay.apply(record)?;
    }
    let trees = replay.into_trees();
    println!(
        "replayed_messages={:?}",
        trees[&program_id].programs[&program_id]
            .messages()
            .collect::<Vec<_>>()
    );
    Ok(())
}

/// Runs one call: reserves budget and records the intent, sends the call, and records the response.
fn run(
    programs: &mut Programs,
    program_id: &str,
    number: u32,
) -> Result<[Record; 2], Box<dyn std::error::Error>> {
    let now = SystemTime::now();
    let CallDecision::Run(..) = programs.begin(request(program_id, number), now)? else {
        return Err("the call has already been run".into());
    };
    let placement = Placement {
        pool_id: "engines".to_owned(),
        endpoint_id: "engine-1".to_owned(),
        max_tokens: 20,
    };
    let prepared = programs.send(&program_id.to_owned(), placement, now)?;
    let answer = CallResponse {
        status: 200,
        content_type: "application/json".to_owned(),
        body: Vec::new(),
        message: Some(format!("\"answer after {} messages\"", prepared.prompt.len())),
    };
    let settled = programs.settle(&program_id.to_owned(), Outcome::Answered(answer), 12);
    Ok([prepared.record, settled.ok_or("the call is no longer open")?])
}

fn request(program_id: &str, number: u32) -> CallRequest {
    CallRequest {
        account_id: "trust".to_owned(),
        program_id: program_id.to_owned(),
        number,
        digest: [u8::try_from(number).unwrap_or(u8::MAX); 32],
        route_id: "planner-llm".to_owned(),
        kind: CallKind::Completion,
        idempotent: true,
        messages: vec![format!("\"question {number}\"")],
        keeps_prefix: true,
    }
}

/// Rate limiter of one account. This host owns the bucket and is its only holder.
struct AccountLimiter {
    bucket: Bucket,
    holder: Holder,
    calls: u64,
}

impl AccountLimiter {
    fn new(limits: Limits) -> Self {
        let mut holder = Holder::new();
        holder.set_rate(limits.rate_per_s);
        Self {
            bucket: Bucket::new(limits, Instant::now()),
            holder,
            calls: 0,
        }
    }

    /// Waits until the account may make a call, and returns the time waited.
    fn acquire(&mut self) -> Duration {
        let since = Instant::now();
        let latest = since + Duration::from_secs(4);
        self.calls += 1;
        let mut admitted = self.holder.admit(self.calls, latest, since) == Admission::Admitted;
        while !admitted {
            std::thread::sleep(Duration::from_millis(10));
            let now = Instant::now();
            let mut settled = self.holder.tick(now);
            if let Some(token_request) = self.holder.token_request(now) {
                let grant = self.bucket.grant(&"this-host".to_owned(), &token_request, now);
                settled.extend(self.holder.on_response(token_request.sequence, grant, now));
            }
            admitted = settled.iter().any(|call| call.admission == Admission::Admitted);
        }
        since.elapsed()
    }
}
