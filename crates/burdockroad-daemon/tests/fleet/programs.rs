//! Requests that pass the ownership check but are applied only after their program's partition has moved to
//! another host.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use burdockroad::{
    ownership::{Candidate, OwnershipMap, Process, initial_map},
    program::{Budget, CachedPrefix, NewProgram, ProgramsOptions, Refusal},
    program_id,
};
use burdockroad_daemon::{
    coordinator::JournalFactory,
    ownership::OwnershipView,
    programs::{PrefixReleaser, ProgramsHandle, ProgramsParts, Rejection},
};
use tokio::sync::watch;

use crate::journals::Journals;

#[derive(Debug)]
struct NoopReleaser;

#[async_trait]
impl PrefixReleaser for NoopReleaser {
    async fn release(&self, _: &CachedPrefix) -> bool {
        true
    }
}

fn process(host_id: &str) -> Process {
    Process {
        host_id: host_id.to_owned(),
        incarnation: 1,
    }
}

fn map_of(owner: &Process) -> OwnershipMap {
    let candidate = Candidate {
        process: owner.clone(),
        failure_domain: "domain".to_owned(),
        weight: 1,
    };
    initial_map(&[candidate], 1).unwrap()
}

fn new_program(random: &str) -> NewProgram {
    NewProgram {
        program_id: program_id(7, random),
        account_id: "account".to_owned(),
        parent_id: None,
        budget: Budget {
            max_tokens: 1_000,
            max_calls: 10,
            max_duration: Duration::from_hours(1),
        },
    }
}

#[tokio::test]
async fn create_after_partition_moved() {
    let me = process("a");
    let view = OwnershipView::new(me.clone(), &map_of(&me), true);
    let (sender, ownership) = watch::channel(Arc::new(view));
    let programs = ProgramsHandle::start(ProgramsParts {
        journal: Journals::new().open(me.clone()).await.unwrap(),
        releaser: Arc::new(NoopReleaser),
        ownership,
        options: ProgramsOptions::default(),
    })
    .await
    .unwrap();
    programs
        .create(new_program("x"))
        .await
        .unwrap()
        .await
        .unwrap()
        .unwrap();

    let moved = OwnershipView::new(me, &map_of(&process("b")), true);
    sender.send_replace(Arc::new(moved));
    let rejection = programs.create(new_program("y")).await.unwrap_err();
    assert!(matches!(rejection, Rejection::Refused(Refusal::NotOwner)));
    let program_id = program_id(7, "x");
    let refusal = programs
        .get("account".to_owned(), program_id.clone())
        .await
        .unwrap_err();
    assert_eq!(refusal, Refusal::NotOwner);
    let refusal = programs.end("account".to_owned(), program_id).await.unwrap_err();
    assert_eq!(refusal, Refusal::NotOwner);
    programs.close();
}
