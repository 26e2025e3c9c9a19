//! Tests of hosts that are killed or paused, and of store outages, while programs run.

use std::time::{Duration, Instant};

use burdockroad_standins::http_client::HttpResponse;
use http::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use burdockroad_site::{Caller, Site, SiteOptions, problem, wait_until};

/// Execution time of an order at the slow service.
const ORDER_MS: &str = "1500";

fn slow_orders() -> SiteOptions {
    SiteOptions {
        service_options: vec!["--execution-ms", ORDER_MS],
        ..SiteOptions::default()
    }
}

/// Returns a daemon other than the given one.
fn other_than(daemon: usize) -> usize {
    (daemon + 1) % 3
}

/// Returns the number of times that the service ran an order.
async fn executions(site: &Site, order: &str) -> usize {
    site.get_control(&site.service, "/recorded")
        .await
        .to_string()
        .matches(order)
        .count()
}

/// Repeats an order until the daemon returns a final outcome.
async fn order_until_final(caller: &Caller<'_>, daemon: usize, program: &str, number: u32) -> HttpResponse {
    wait_until("the order has a final outcome", || async {
        let response = caller.order(daemon, program, number, "order-one").await;
        let retryable = response.status == 503;
        (!retryable).then_some(response)
    })
    .await
}

#[tokio::test]
async fn owner_killed_history_complete() {
    let mut site = Site::start(SiteOptions::default()).await;
    let program = site.caller("masters").create_program(0, &json!({})).await;
    for number in 1..=3 {
        let text = format!("question {number}");
        let response = site.caller("masters").complete(1, &program, number, &text).await;
        assert_eq!(response.status, 200, "{}", response.text());
    }
    let owner = site.owner_of(&program).await;
    let before = site.caller("masters").show_program(owner, &program).await;
    site.daemons[owner]
        .kill()
        .await
        .expect("the process can be killed");
    let killed_at = Instant::now();
    let caller = site.caller("masters");
    let other_daemon = other_than(owner);
    wait_until("the program continues", || async {
        let response = caller.complete(other_daemon, &program, 4, "question 4").await;
        (response.status == 200).then_some(())
    })
    .await;
    println!(
        "event=program_went_on after_ms={}",
        killed_at.elapsed().as_millis()
    );
    let after = caller.show_program(other_daemon, &program).await;
    let calls = after["calls"].as_array().expect("the program has calls");
    assert_eq!(
        before["calls"].as_array().expect("the program has calls")[..],
        calls[..3],
        "the history is complete"
    );
    assert_eq!(calls.len(), 4);
}

#[tokio::test]
async fn owner_killed_during_completion() {
    let options = SiteOptions {
        engine_options: vec!["--token-ms", "60"],
        ..SiteOptions::default()
    };
    let mut site = Site::start(options).await;
    let program = site
        .caller("masters")
        .create_program(0, &json!({ "budget": { "max_tokens": 40 } }))
        .await;
    let owner = site.owner_of(&program).await;
    let other_daemon = other_than(owner);
    let body = burdockroad_site::completion("slow question", 16);
    let path = "/v1/chat/completions";
    let caller = site.caller("masters");
    let (first, ()) = tokio::join!(
        caller.try_send(owner, Method::POST, path, Some((&program, 1)), &body),
        sleep(Duration::from_millis(400)),
    );
    // The first attempt has ended before the owner is killed, with or without a response.
    drop(first);
    site.daemons[owner]
        .kill()
        .await
        .expect("the process can be killed");
    let caller = site.caller("masters");
    let response = wait_until("the call runs again", || async {
        let response = caller.complete(other_daemon, &program, 1, "slow question").await;
        (response.status == 200).then_some(response)
    })
    .await;
    let shown = caller.show_program(other_daemon, &program).await;
    let calls = shown["calls"].as_array().expect("the program has calls");
    assert_eq!(calls.len(), 1, "all attempts are one call: {shown}");
    let content =
        response.json::<Value>().expect("the body is JSON")["choices"][0]["message"]["content"].clone();
    assert_eq!(calls[0]["answer"]["content"], content);
}

#[tokio::test]
async fn owner_killed_during_order() {
    let mut site = Site::start(slow_orders()).await;
    let program = site.caller("masters").create_program(0, &json!({})).await;
    let owner = site.owner_of(&program).await;
    let other_daemon = other_than(owner);
    let url = site.url(other_daemon);
    let key = site.key("masters").to_owned();
    let first = tokio::spawn(send_order(url, key, program.clone()));
    wait_until("the service runs the order", || async {
        (executions(&site, "order-one").await == 1).then_some(())
    })
    .await;
    site.daemons[owner]
        .kill()
        .await
        .expect("the process can be killed");
    let first = first.await.expect("the first attempt ends");
    assert!(first != "200", "the first attempt cannot have succeeded: {first}");
    let caller = site.caller("masters");
    let response = order_until_final(&caller, other_daemon, &program, 1).await;
    assert_eq!(response.status, 409, "{}", response.text());
    assert_eq!(
        problem(&response),
        ("outcome-unknown".to_owned(), "unknown".to_owned())
    );
    sleep(Duration::from_secs(2)).await;
    assert_eq!(executions(&site, "order-one").await, 1, "the order ran once");
    let next = caller.complete(other_daemon, &program, 2, "go on").await;
    assert_eq!(
        next.status,
        200,
        "the program continues after an unknown outcome: {}",
        next.text()
    );
}

/// Sends an order and returns the status of the response, or the error.
async fn send_order(url: String, key: String, program: String) -> String {
    let client = burdockroad_standins::http_client::HttpClient::with_timeout(Duration::from_secs(30));
    let request = http::Request::post(format!("{url}/services/fuel-orders/orders"))
        .header("authorization", format!("Bearer {key}"))
        .header("program-id", program)
        .header("call-number", 1)
        .body(http_body_util::Full::from(
            json!({ "order": "order-one" }).to_string(),
        ))
        .expect("the request is valid");
    match client.send(request).await {
        Ok(response) => response.status.as_u16().to_string(),
        Err(error) => error.to_string(),
    }
}

#[tokio::test]
async fn owner_paused_during_order() {
    let site = Site::start(slow_orders()).await;
    let caller = site.caller("masters");
    let program = caller.create_program(0, &json!({})).await;
    let owner = site.owner_of(&program).await;
    let other_daemon = other_than(owner);
    let first = tokio::spawn(send_order(
        site.url(other_daemon),
        site.key("masters").to_owned(),
        program.clone(),
    ));
    wait_until("the service runs the order", || async {
        (executions(&site, "order-one").await == 1).then_some(())
    })
    .await;
    site.daemons[owner].stop().expect("the process can be paused");
    let response = order_until_final(&caller, other_daemon, &program, 1).await;
    assert_eq!(response.status, 409, "{}", response.text());
    site.daemons[owner].resume().expect("the process can be resumed");
    drop(first.await);
    let shown = caller.show_program(other_daemon, &program).await;
    assert_eq!(
        shown["calls"][0]["state"], "outcome_unknown",
        "the paused host changed nothing: {shown}"
    );
    site.wait_until_ready(owner).await;
    wait_until("the resumed host serves again", || async {
        let next = caller.complete(owner, &program, 2, "go on").await;
        (next.status == 200).then_some(())
    })
    .await;
    assert_eq!(executions(&site, "order-one").await, 1, "the order ran once");
}

#[tokio::test]
async fn store_down_programs_continue() {
    let site = Site::start(SiteOptions::default()).await;
    let caller = site.caller("masters");
    let program = caller.create_program(0, &json!({})).await;
    site.post_control(&site.kv, "/faults", &json!({ "down": true }))
        .await;
    sleep(Duration::from_secs(2)).await;
    for number in 1..=5 {
        let daemon = usize::try_from(number).expect("the number fits") % 3;
        let response = caller
            .complete(daemon, &program, number, &format!("question {number}"))
            .await;
        assert_eq!(
            response.status,
            200,
            "call {number} while the store is down: {}",
            response.text()
        );
        sleep(Duration::from_millis(500)).await;
    }
    let sent_at = Instant::now();
    let order = caller.order(1, &program, 6, "order-one").await;
    assert_eq!(order.status, 503, "{}", order.text());
    assert_eq!(problem(&order), ("not-recordable".to_owned(), "no".to_owned()));
    assert!(order.headers.contains_key("retry-after"));
    assert!(
        sent_at.elapsed() < Duration::from_secs(5),
        "the order is refused immediately, not at its deadline"
    );
    assert_eq!(
        executions(&site, "order-one").await,
        0,
        "an order reported as not run was not run"
    );
    site.post_control(&site.kv, "/faults", &json!({ "down": false }))
        .await;
    let order = wait_until("the order runs when the store is available again", || async {
        let order = caller.order(2, &program, 6, "order-one").await;
        (order.status == 200).then_some(order)
    })
    .await;
    drop(order);
    assert_eq!(executions(&site, "order-one").await, 1);
    let shown = caller.show_program(0, &program).await;
    assert_eq!(shown["calls"].as_array().map(Vec::len), Some(6));
}

#[tokio::test]
async fn store_down_then_owner_killed() {
    let mut site = Site::start(SiteOptions::default()).await;
    let program = site.caller("masters").create_program(0, &json!({})).await;
    site.post_control(&site.kv, "/faults", &json!({ "down": true }))
        .await;
    sleep(Duration::from_secs(1)).await;
    for number in 1..=3 {
        let response = site
            .caller("masters")
            .complete(1, &program, number, &format!("question {number}"))
            .await;
        assert_eq!(response.status, 200, "{}", response.text());
    }
    let owner = site.owner_of(&program).await;
    site.daemons[owner]
        .kill()
        .await
        .expect("the process can be killed");
    sleep(Duration::from_secs(2)).await;
    site.post_control(&site.kv, "/faults", &json!({ "down": false }))
        .await;
    let caller = site.caller("masters");
    let other_daemon = other_than(owner);
    wait_until("the program continues", || async {
        let response = caller.complete(other_daemon, &program, 4, "question 4").await;
        (response.status == 200).then_some(())
    })
    .await;
    let shown = caller.show_program(other_daemon, &program).await;
    let calls = shown["calls"].as_array().expect("the program has calls");
    assert_eq!(
        calls.len(),
        4,
        "the history that only the peer had is complete: {shown}"
    );
    assert!(calls.iter().all(|call| call["state"] == "answered"), "{shown}");
}

#[tokio::test]
async fn program_end_after_host_killed_removes_cached_prefix() {
    let mut site = Site::start(SiteOptions::default()).await;
    let mut programs = Vec::new();
    for daemon in 0..3 {
        let caller = site.caller("masters");
        let program = caller.create_program(daemon, &json!({})).await;
        let response = caller.complete(daemon, &program, 1, "question").await;
        assert_eq!(response.status, 200, "{}", response.text());
        programs.push(program);
    }
    assert_eq!(
        site.cached_programs().await.len(),
        3,
        "the engines cache the programs' prefixes"
    );
    site.daemons[0].kill().await.expect("the process can be killed");
    let caller = site.caller("masters");
    for program in &programs {
        let path = format!("/v1/programs/{program}");
        wait_until("the program is ended", || async {
            let ended = caller.send(1, Method::DELETE, &path, None, &Value::Null).await;
            (ended.status == 200).then_some(())
        })
        .await;
    }
    wait_until("the engines have no cached prefixes", || async {
        site.cached_programs().await.is_empty().then_some(())
    })
    .await;
}

#[tokio::test]
async fn rolling_restart_drops_no_request() {
    let mut site = Site::start(SiteOptions::default()).await;
    for stopped in 0..3 {
        let other_daemons: Vec<usize> = (0..3).filter(|daemon| *daemon != stopped).collect();
        let caller = site.caller("masters");
        let program = caller.create_program(stopped, &json!({})).await;
        let load = run_while_terminating(&site, stopped, &program, other_daemons[0]);
        load.await;
        let ended = site.daemons[stopped]
            .wait(Duration::from_secs(30))
            .await
            .expect("the daemon exits after SIGTERM");
        assert!(ended.success(), "{ended}");
        site.restart(stopped).await;
    }
}

/// Terminates a daemon while it handles requests. Checks that each direct call succeeds or is refused, and
/// that the calls of its program through another daemon succeed.
async fn run_while_terminating(site: &Site, stopped: usize, program: &str, other_daemon: usize) {
    let caller = site.caller("masters");
    let body = burdockroad_site::completion("under way", 40);
    let path = "/v1/chat/completions";
    let direct_calls = (0..8).map(|_| caller.send(stopped, Method::POST, path, None, &body));
    let forwarded_call = caller.complete(other_daemon, program, 1, "under way in a program");
    let stop = async {
        sleep(Duration::from_millis(15)).await;
        site.daemons[stopped]
            .terminate()
            .expect("the daemon is terminated");
    };
    let (responses, forwarded_response, ()) =
        tokio::join!(futures_util::future::join_all(direct_calls), forwarded_call, stop);
    for response in responses {
        let refused = response.status == 503 && problem(&response).0 == "stopping";
        assert!(response.status == 200 || refused, "{}", response.text());
    }
    assert_eq!(forwarded_response.status, 200, "{}", forwarded_response.text());
    for number in 2..=4 {
        let response = caller.complete(other_daemon, program, number, "goes on").await;
        assert_eq!(response.status, 200, "call {number}: {}", response.text());
    }
}
