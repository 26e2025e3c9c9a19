//! Hosts that are killed, paused and cut off while programs run.

use std::time::{Duration, Instant};

use burdockroad_standins::http_client::HttpResponse;
use http::Method;
use serde_json::{Value, json};
use tokio::time::sleep;

use burdockroad_site::{Caller, Site, SiteOptions, problem, until};

/// A slow service: an order takes this long.
const ORDER_MS: &str = "1500";

fn slow_orders() -> SiteOptions {
    SiteOptions {
        service_options: vec!["--execution-ms", ORDER_MS],
        ..SiteOptions::default()
    }
}

/// A daemon that is not the given one.
fn other_than(daemon: usize) -> usize {
    (daemon + 1) % 3
}

/// Number of times that the service ran an order.
async fn executions(site: &Site, order: &str) -> usize {
    site.ask(&site.service, "/recorded")
        .await
        .to_string()
        .matches(order)
        .count()
}

/// Sends an order until the daemon says something final.
async fn order_until_final(caller: &Caller<'_>, daemon: usize, program: &str, number: u32) -> HttpResponse {
    until("the order's outcome", || async {
        let answer = caller.order(daemon, program, number, "order-one").await;
        let moving = answer.status == 503;
        (!moving).then_some(answer)
    })
    .await
}

#[tokio::test]
async fn owner_killed_history_whole() {
    let mut site = Site::start(SiteOptions::default()).await;
    let program = site.caller("masters").program(0, &json!({})).await;
    for number in 1..=3 {
        let text = format!("question {number}");
        let answer = site.caller("masters").complete(1, &program, number, &text).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let owner = site.owner_of(&program).await;
    let before = site.caller("masters").show(owner, &program).await;
    site.daemons[owner].kill().await.expect("killed");
    let killed = Instant::now();
    let caller = site.caller("masters");
    let through = other_than(owner);
    until("the program goes on", || async {
        let answer = caller.complete(through, &program, 4, "question 4").await;
        (answer.status == 200).then_some(())
    })
    .await;
    println!("event=program_went_on after_ms={}", killed.elapsed().as_millis());
    let after = caller.show(through, &program).await;
    let kept = after["calls"].as_array().expect("calls");
    assert_eq!(
        before["calls"].as_array().expect("calls")[..],
        kept[..3],
        "the history is whole"
    );
    assert_eq!(kept.len(), 4);
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
        .program(0, &json!({ "budget": { "max_tokens": 40 } }))
        .await;
    let owner = site.owner_of(&program).await;
    let through = other_than(owner);
    let body = burdockroad_site::completion("slow question", 16);
    let path = "/v1/chat/completions";
    let caller = site.caller("masters");
    let (first, ()) = tokio::join!(
        caller.try_send(owner, Method::POST, path, Some((&program, 1)), &body),
        sleep(Duration::from_millis(400)),
    );
    // Killed only after the first try has begun; the answer may have come through by then or not.
    drop(first);
    site.daemons[owner].kill().await.expect("killed");
    let caller = site.caller("masters");
    let answer = until("the call runs again", || async {
        let answer = caller.complete(through, &program, 1, "slow question").await;
        (answer.status == 200).then_some(answer)
    })
    .await;
    let shown = caller.show(through, &program).await;
    let calls = shown["calls"].as_array().expect("calls");
    assert_eq!(calls.len(), 1, "one call, however often it was tried: {shown}");
    let content = answer.json::<Value>().expect("JSON")["choices"][0]["message"]["content"].clone();
    assert_eq!(calls[0]["answer"]["content"], content);
}

#[tokio::test]
async fn owner_killed_during_order() {
    let mut site = Site::start(slow_orders()).await;
    let program = site.caller("masters").program(0, &json!({})).await;
    let owner = site.owner_of(&program).await;
    let through = other_than(owner);
    let url = site.url(through);
    let key = site.key("masters").to_owned();
    let first = tokio::spawn(send_order(url, key, program.clone()));
    until("the service runs the order", || async {
        (executions(&site, "order-one").await == 1).then_some(())
    })
    .await;
    site.daemons[owner].kill().await.expect("killed");
    let first = first.await.expect("the first try ends");
    assert!(first != "200", "the first try cannot have been answered: {first}");
    let caller = site.caller("masters");
    let answer = order_until_final(&caller, through, &program, 1).await;
    assert_eq!(answer.status, 409, "{}", answer.text());
    assert_eq!(
        problem(&answer),
        ("outcome-unknown".to_owned(), "unknown".to_owned())
    );
    sleep(Duration::from_secs(2)).await;
    assert_eq!(executions(&site, "order-one").await, 1, "the order ran once");
    let next = caller.complete(through, &program, 2, "go on").await;
    assert_eq!(
        next.status,
        200,
        "the program goes on after an unknown outcome: {}",
        next.text()
    );
}

/// Sends an order, and returns the status or what went wrong.
async fn send_order(url: String, key: String, program: String) -> String {
    let client = burdockroad_standins::http_client::HttpClient::with_timeout(Duration::from_secs(30));
    let request = http::Request::post(format!("{url}/services/fuel-orders/orders"))
        .header("authorization", format!("Bearer {key}"))
        .header("program-id", program)
        .header("call-number", 1)
        .body(http_body_util::Full::from(
            json!({ "order": "order-one" }).to_string(),
        ))
        .expect("a request");
    match client.send(request).await {
        Ok(answer) => answer.status.as_u16().to_string(),
        Err(error) => error.to_string(),
    }
}

#[tokio::test]
async fn owner_paused_during_order() {
    let site = Site::start(slow_orders()).await;
    let caller = site.caller("masters");
    let program = caller.program(0, &json!({})).await;
    let owner = site.owner_of(&program).await;
    let through = other_than(owner);
    let first = tokio::spawn(send_order(
        site.url(through),
        site.key("masters").to_owned(),
        program.clone(),
    ));
    until("the service runs the order", || async {
        (executions(&site, "order-one").await == 1).then_some(())
    })
    .await;
    site.daemons[owner].stop().expect("paused");
    let answer = order_until_final(&caller, through, &program, 1).await;
    assert_eq!(answer.status, 409, "{}", answer.text());
    site.daemons[owner].resume().expect("resumed");
    drop(first.await);
    let shown = caller.show(through, &program).await;
    assert_eq!(
        shown["calls"][0]["state"], "outcome_unknown",
        "the paused host changed nothing: {shown}"
    );
    site.wait_until_ready(owner).await;
    until("the resumed host serves again", || async {
        let next = caller.complete(owner, &program, 2, "go on").await;
        (next.status == 200).then_some(())
    })
    .await;
    assert_eq!(executions(&site, "order-one").await, 1, "the order ran once");
}

#[tokio::test]
async fn store_down_programs_go_on() {
    let site = Site::start(SiteOptions::default()).await;
    let caller = site.caller("masters");
    let program = caller.program(0, &json!({})).await;
    site.control(&site.kv, "/faults", &json!({ "down": true })).await;
    sleep(Duration::from_secs(2)).await;
    for number in 1..=5 {
        let daemon = usize::try_from(number).expect("a small number") % 3;
        let answer = caller
            .complete(daemon, &program, number, &format!("question {number}"))
            .await;
        assert_eq!(
            answer.status,
            200,
            "call {number} while the store is down: {}",
            answer.text()
        );
        sleep(Duration::from_millis(500)).await;
    }
    let asked = Instant::now();
    let order = caller.order(1, &program, 6, "order-one").await;
    assert_eq!(order.status, 503, "{}", order.text());
    assert_eq!(problem(&order), ("not-recordable".to_owned(), "no".to_owned()));
    assert!(order.headers.contains_key("retry-after"));
    assert!(
        asked.elapsed() < Duration::from_secs(5),
        "refused at once, not at its deadline"
    );
    assert_eq!(executions(&site, "order-one").await, 0, "not run means not run");
    site.control(&site.kv, "/faults", &json!({ "down": false })).await;
    let order = until("the order runs once the store is back", || async {
        let order = caller.order(2, &program, 6, "order-one").await;
        (order.status == 200).then_some(order)
    })
    .await;
    drop(order);
    assert_eq!(executions(&site, "order-one").await, 1);
    let shown = caller.show(0, &program).await;
    assert_eq!(shown["calls"].as_array().map(Vec::len), Some(6));
}

#[tokio::test]
async fn store_down_then_owner_killed() {
    let mut site = Site::start(SiteOptions::default()).await;
    let program = site.caller("masters").program(0, &json!({})).await;
    site.control(&site.kv, "/faults", &json!({ "down": true })).await;
    sleep(Duration::from_secs(1)).await;
    for number in 1..=3 {
        let answer = site
            .caller("masters")
            .complete(1, &program, number, &format!("question {number}"))
            .await;
        assert_eq!(answer.status, 200, "{}", answer.text());
    }
    let owner = site.owner_of(&program).await;
    site.daemons[owner].kill().await.expect("killed");
    sleep(Duration::from_secs(2)).await;
    site.control(&site.kv, "/faults", &json!({ "down": false })).await;
    let caller = site.caller("masters");
    let through = other_than(owner);
    until("the program goes on", || async {
        let answer = caller.complete(through, &program, 4, "question 4").await;
        (answer.status == 200).then_some(())
    })
    .await;
    let shown = caller.show(through, &program).await;
    let calls = shown["calls"].as_array().expect("calls");
    assert_eq!(calls.len(), 4, "what only the peer had is whole: {shown}");
    assert!(calls.iter().all(|call| call["state"] == "answered"), "{shown}");
}

#[tokio::test]
async fn memory_of_gone_programs_is_freed() {
    let mut site = Site::start(SiteOptions::default()).await;
    let mut programs = Vec::new();
    for daemon in 0..3 {
        let caller = site.caller("masters");
        let program = caller.program(daemon, &json!({})).await;
        let answer = caller.complete(daemon, &program, 1, "question").await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        programs.push(program);
    }
    assert_eq!(site.held().await.len(), 3, "engines hold the programs' prefixes");
    site.daemons[0].kill().await.expect("killed");
    let caller = site.caller("masters");
    for program in &programs {
        let path = format!("/v1/programs/{program}");
        until("the program is ended", || async {
            let ended = caller.send(1, Method::DELETE, &path, None, &Value::Null).await;
            (ended.status == 200).then_some(())
        })
        .await;
    }
    until("engines hold nothing more", || async {
        site.held().await.is_empty().then_some(())
    })
    .await;
}

#[tokio::test]
async fn shutdown_in_turn_cuts_no_request() {
    let mut site = Site::start(SiteOptions::default()).await;
    for stopped in 0..3 {
        let urls: Vec<usize> = (0..3).filter(|daemon| *daemon != stopped).collect();
        let caller = site.caller("masters");
        let program = caller.program(stopped, &json!({})).await;
        let load = run_while_stopping(&site, stopped, &program, urls[0]);
        load.await;
        let ended = site.daemons[stopped]
            .wait(Duration::from_secs(30))
            .await
            .expect("it ends by itself");
        assert!(ended.success(), "{ended}");
        site.restart(stopped).await;
    }
}

/// Keeps requests under way at a daemon while it is told to stop; each of them has to be answered.
async fn run_while_stopping(site: &Site, stopped: usize, program: &str, through: usize) {
    let caller = site.caller("masters");
    let body = burdockroad_site::completion("under way", 40);
    let path = "/v1/chat/completions";
    let at_stopped = (0..8).map(|_| caller.send(stopped, Method::POST, path, None, &body));
    let at_owner = caller.complete(through, program, 1, "under way in a program");
    let stop = async {
        sleep(Duration::from_millis(15)).await;
        site.daemons[stopped].terminate().expect("told to stop");
    };
    let (answers, of_program, ()) = tokio::join!(futures_util::future::join_all(at_stopped), at_owner, stop);
    for answer in answers {
        let refused = answer.status == 503 && problem(&answer).0 == "stopping";
        assert!(answer.status == 200 || refused, "{}", answer.text());
    }
    assert_eq!(of_program.status, 200, "{}", of_program.text());
    for number in 2..=4 {
        let answer = caller.complete(through, program, number, "goes on").await;
        assert_eq!(answer.status, 200, "call {number}: {}", answer.text());
    }
}
