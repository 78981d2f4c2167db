//! The sidecar as a process: what it does with the node list, with discovery, and with its configuration.

use passrelay_test_support::*;
use serde_json::json;
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");

#[test]
fn the_known_list_serves_while_discovery_is_silent() {
    let node = Server::start(|_| response(200, "", b"ok"));
    let discovery = Server::start(|_| Reply::NoResponse);
    let mut told = config(discovery.address);
    told["known"] =
        json!({"seq": 4, "whole": true, "hosts": [node_entry("s-0", node.address, "in_service")]});
    let relay = Relay::start(PROGRAM, &told);
    relay.wait_until_ready();
    assert_eq!(relay.call("pay", 4.0).status(), 200);
    wait_until("it watches from the known version", || !discovery.requests().is_empty());
    assert!(discovery.requests()[0].start_line.starts_with("GET /v1/endpoints?since=4&timeout_ms="));
}

#[test]
fn it_is_ready_only_with_a_list_and_outlives_bad_answers_of_discovery() {
    let node = Server::start(|_| response(200, "", b"ok"));
    let asked = Arc::new(AtomicUsize::new(0));
    let (calls, line) = (asked.clone(), node_entry("s-0", node.address, "in_service"));
    let discovery = Server::start(move |_| {
        let bad = |hosts| json!({"seq": 1, "whole": true, "hosts": hosts}).to_string();
        match calls.fetch_add(1, Ordering::SeqCst) {
            0 => response(503, "", b""),
            1 => response(200, "", b"not json"),
            2 => Reply::BytesThenClose(b"\x00\x01\r\n\r\n".to_vec()),
            3 => response(200, "", bad(json!([{"host": 7}])).as_bytes()),
            // A first call that is never answered has to time out.
            4 => Reply::NoResponse,
            5 => response(200, "", bad(json!([line])).as_bytes()),
            _ => Reply::NoResponse,
        }
    });
    let mut told = config(discovery.address);
    told["settings"]["Rules"]["AskEvery"] = 1.0.into();
    let relay = Relay::start(PROGRAM, &told);
    let mut caller = relay.caller();
    wait_until("discovery is asked", || asked.load(Ordering::SeqCst) > 0);
    assert_eq!(caller.exchange("GET /ready HTTP/1.1\r\n\r\n").status(), 503);
    relay.wait_for_log("problem=\"no answer\"");
    relay.wait_until_ready();
    assert_eq!(relay.call("pay", 4.0).status(), 200);
}

#[test]
fn a_failed_call_is_made_again_also_where_the_module_expects_news_unasked() {
    let node = Server::start(|_| response(200, "", b"ok"));
    let asked = AtomicUsize::new(0);
    let list = json!({"seq": 1, "whole": true, "hosts": [node_entry("s-0", node.address, "in_service")]});
    let discovery = Server::start(move |_| match asked.fetch_add(1, Ordering::SeqCst) {
        0 => response(503, "", b""),
        1 => response(200, "", list.to_string().as_bytes()),
        _ => Reply::NoResponse,
    });
    let mut told = config(discovery.address);
    told["settings"]["RegistryMode"] = "push".into();
    let relay = Relay::start(PROGRAM, &told);
    relay.wait_until_ready();
    assert!(relay.find_log("problem=\"status 503\"").is_some());
}

#[test]
fn a_watch_goes_on_at_once_and_a_hasty_discovery_is_not_stormed() {
    let node = Server::start(|_| response(200, "", b"ok"));
    let discovery = Discovery::start(vec![node_entry("s-0", node.address, "in_service")]);
    let relay = Relay::start(PROGRAM, &config(discovery.server.address));
    relay.wait_until_ready();
    for seq in 1..4 {
        let next = format!("since={seq}&");
        wait_until("the next watch is there", || {
            discovery.server.requests().iter().any(|m| m.start_line.contains(&next))
        });
        discovery.set_nodes(vec![node_entry("s-0", node.address, "in_service")]);
    }
    let hasty = Server::start(|_| response(200, "", br#"{"seq":1,"whole":true,"hosts":[]}"#));
    let relay = Relay::start(PROGRAM, &config(hasty.address));
    let began = Instant::now();
    relay.wait_for_log("event=discovery_failed");
    // 50 ms between two calls at the least, so that a slow machine only makes it fewer.
    let calls = hasty.requests().len() as u32;
    assert!(calls >= 4 && began.elapsed() + Duration::from_millis(500) > calls * Duration::from_millis(50));
}

#[test]
fn a_watch_that_falls_silent_is_soon_given_up() {
    // With waits of 20 s a copy sent to nodes that a release had long replaced.
    let node = Server::start(|_| response(200, "", b"ok"));
    let asked = AtomicUsize::new(0);
    let list = |seq, line| json!({"seq": seq, "whole": true, "hosts": [line]}).to_string();
    let first = list(1, node_entry("s-0", "127.0.0.1:9".parse().unwrap(), "in_service"));
    let second = list(2, node_entry("s-1", node.address, "in_service"));
    let discovery = Server::start(move |_| match asked.fetch_add(1, Ordering::SeqCst) {
        0 => response(200, "", first.as_bytes()),
        2 => response(200, "", second.as_bytes()),
        _ => Reply::NoResponse,
    });
    let mut told = config(discovery.address);
    told["settings"]["Rules"]["AskEvery"] = 1.0.into();
    let relay = Relay::start(PROGRAM, &told);
    wait_until("the second list is there", || relay.call("pay", 4.0).status() == 200);
    let watches = discovery.requests().into_iter().filter(|m| m.start_line.contains("timeout_ms"));
    // What it allows each wait, by its own words; the rest is the pause after a failure.
    assert!(watches.count() >= 2 && discovery.requests()[1].start_line.contains("timeout_ms=2500"));
}

#[test]
fn a_new_configuration_moves_the_watch_and_a_faulty_one_changes_nothing() {
    let node = Server::start(|m| {
        if m.start_line.contains("look") {
            std::thread::sleep(Duration::from_millis(1500));
        }
        response(200, "", b"ok")
    });
    let (mut relay, old) = Relay::start_with_nodes(PROGRAM, &[&node]);
    wait_until("it watches", || old.server.requests().len() >= 2);
    let mut open = relay.caller();
    open.send(&request("look", 6.0, b""));
    wait_until("the node has it", || node.requests().len() == 1);
    let mut told = config(old.server.address);
    told["discovery"] = "nowhere".into();
    for (text, problem) in [(told.to_string(), "key=discovery"), ("{".to_owned(), "key=RELAY_CONFIG")] {
        relay.reload(&text);
        assert!(relay.wait_for_log(problem).contains("event=reload_failed"));
    }
    // The environment still names the old address.
    let new = Discovery::start(Vec::new());
    told["discovery"] = new.server.address.to_string().into();
    relay.reload(&told.to_string());
    wait_until("the new address is asked", || !new.server.requests().is_empty());
    assert!(new.server.requests()[0].start_line.contains("since=1&"), "the watch goes on");
    let asked = old.server.requests().len();
    assert_eq!(relay.call("pay", 4.0).status(), 200);
    new.set_nodes(vec![node_entry("s-0", node.address, "terminating")]);
    relay.wait_for_log("event=node_draining");
    let (began, before) = (Instant::now(), new.server.requests().len());
    (0..20).for_each(|_| relay.signal("HUP"));
    relay.terminate();
    relay.signal("HUP");
    assert_eq!(open.receive().unwrap().status(), 200, "what was open stays open");
    assert!(relay.wait_for_success());
    // The next watch, and more only as waits pass: an address that stays the same is not asked anew at each signal.
    let (calls, waits) = (new.server.requests().len() - before, began.elapsed().as_secs_f64() / 2.5);
    assert!(calls <= 1 + waits as usize, "{calls} calls");
    assert_eq!(old.server.requests().len(), asked, "the old address is left alone");
}

#[test]
fn a_drained_node_gets_nothing_new_even_if_its_connection_comes_up_late() {
    let (slow, _fillers) = full_listener();
    let address = slow.local_addr().unwrap();
    let discovery = Discovery::start(vec![node_entry("s-0", address, "in_service")]);
    let mut told = config(discovery.server.address);
    told["settings"]["Limits"]["ConnectTimeout"] = 10.0.into();
    told["settings"]["Classes"][1]["Aim"] = 10.0.into();
    told["settings"]["Classes"][1]["GiveUp"] = 10.0.into();
    let relay = Relay::start(PROGRAM, &told);
    relay.wait_until_ready();
    let mut caller = relay.caller();
    caller.send(&request("pay", 9.0, b""));
    // Answered only after the request was taken, so the attempt is on its way by then.
    relay.wait_until_ready();
    let other = Server::start(|_| response(200, "", b"ok"));
    discovery.set_nodes(vec![
        node_entry("s-0", address, "terminating"),
        node_entry("s-1", other.address, "in_service"),
    ]);
    relay.wait_for_log("event=node_draining");
    let drained = Server::from_listener(slow, |_| response(200, "", b"wrong"));
    let reply = caller.receive().unwrap();
    assert_eq!((reply.status(), &reply.body[..]), (200, &b"ok"[..]));
    wait_until("the late connection has come and gone", || drained.closed_connections() > 0);
    assert!(drained.requests().is_empty() && other.requests().len() == 1);
}

// Guards against a list that was cut in its middle, or reset, just as a node was told to drain: nothing of it counts, and
// the whole of it is asked for again soon. The next one comes indented.
#[test]
fn a_watch_cut_or_reset_in_mid_list_is_asked_again_and_indented_lists_are_read() {
    let nodes = [0, 1].map(|_| Server::start(|_| response(200, "", b"ok")));
    let lines = |first| {
        let both = nodes.iter().enumerate();
        let health = |n| if n == 0 { first } else { "in_service" };
        both.map(|(n, s)| node_entry(&format!("s-{n}"), s.address, health(n))).collect::<Vec<_>>()
    };
    for reset in [false, true] {
        let first = json!({"seq": 1, "whole": true, "hosts": lines("in_service")}).to_string();
        let last = json!({"seq": 2, "whole": true, "hosts": lines("terminating")});
        let (last, calls) = (serde_json::to_string_pretty(&last).unwrap(), AtomicUsize::new(0));
        let discovery = Server::start(move |_| match calls.fetch_add(1, Ordering::SeqCst) {
            0 => response(200, "", first.as_bytes()),
            1 => {
                let Reply::Bytes(whole) = response(200, "", last.as_bytes()) else {
                    return Reply::NoResponse;
                };
                let half = whole[..whole.len() * 2 / 3].to_vec();
                if reset {
                    Reply::BytesThenReset(half)
                } else {
                    Reply::BytesThenClose(half)
                }
            }
            2 => response(200, "", last.as_bytes()),
            _ => Reply::NoResponse,
        });
        let relay = Relay::start(PROGRAM, &config(discovery.address));
        relay.wait_until_ready();
        let began = Instant::now();
        relay.wait_for_log("event=discovery_failed");
        relay.wait_for_log("event=node_draining node=s-0");
        assert!(began.elapsed() < Duration::from_secs(5), "{:?}", began.elapsed());
        let before = nodes[0].requests().len();
        assert!((0..6).all(|_| relay.call("pay", 4.0).status() == 200));
        assert_eq!(nodes[0].requests().len(), before);
    }
}

#[test]
fn faulty_configuration_is_named_by_its_key() {
    let good = config("127.0.0.1:9".parse().unwrap());
    let cases = [
        ("/listen", json!("nowhere"), "listen: should be address:port"),
        ("/discovery", json!(null), "discovery: is missing"),
        ("/seed", json!("xyz"), "seed: should be hex"),
        ("/limits/sockets", json!(0), "limits.sockets: should be"),
        ("/limits/sockets", json!(20), "limits: leave no room"),
        (
            "/known",
            json!({"seq": 1, "whole": true, "hosts": [{"host": "a", "health": "odd"}]}),
            "known: hosts[0].health",
        ),
        ("/settings", json!(null), "settings: should be an object"),
        ("/settings/Tick", json!("soon"), "settings.Tick: has the value 'soon'"),
        ("/settings/Classes", json!([]), "classes"),
        ("/settings/Classes/1/Idempotency", json!("maybe"), "settings.Classes.1.Idempotency: unknown"),
        ("/settings/Limits/ConnIdle", json!(-1), "settings.Limits.ConnIdle: should be finite"),
        ("/settings/Balancers", json!(0), "balancers"),
    ];
    let run = |path: Option<&std::path::Path>| {
        let mut command = Command::new(PROGRAM);
        command.env_remove("RELAY_CONFIG");
        path.into_iter().for_each(|p| _ = command.env("RELAY_CONFIG", p));
        let out = command.output().unwrap();
        assert!(!out.status.success());
        String::from_utf8(out.stderr).unwrap()
    };
    for (key, value, wanted) in cases {
        let mut bad = good.clone();
        *bad.pointer_mut(key).unwrap() = value;
        let path = config_file(&bad);
        let text = run(Some(&path));
        std::fs::remove_file(path).unwrap();
        assert!(text.contains(wanted) && text.lines().count() == 1, "{key}: {text}");
    }
    assert!(run(None).contains("RELAY_CONFIG: is not set"));
    assert!(run(Some("/nonexistent".as_ref())).contains("RELAY_CONFIG: cannot read"));
}
