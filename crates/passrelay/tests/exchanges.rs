//! Random exchanges over sockets between clients, the sidecar's process and endpoints that violate HTTP in many ways: an
//! answer goes to its caller alone, and a request that isn't idempotent runs at most once.
//!
//! Endpoints log what they executed, clients what they received; the two are compared in the end. Which exchange goes wrong
//! and how depends on the seed and the request's id alone; timing and interleaving do not.
//!
//! `EXCHANGES=N` sets the number of exchanges, `EXCHANGE_SEED=S` the seed.

use passrelay_test_support::fleet::{Fleet, Sidecar};
use passrelay_test_support::{serve_connections, Message};
use rstest::rstest;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");
const ENDPOINTS: usize = 4;
const CLIENTS: u64 = 16;
/// Exchanges where `EXCHANGES` isn't set.
const DEFAULT_EXCHANGES: u64 = 20_000;
/// Statuses that guarantee that a request was not executed and never will be.
const NOT_EXECUTED_STATUSES: [u16; 4] = [408, 421, 429, 503];
/// Executions that are in flight when the last client is done end within this.
const EXECUTION_TIMEOUT: Duration = Duration::from_secs(2);
/// Heartbeat interval of the endpoints, below the 1.2 s that the fleet expects.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(800);

/// A number that looks random and depends on nothing but the seed and the key.
fn seeded_hash(seed: u64, key: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, key).hash(&mut hasher);
    hasher.finish()
}

/// What endpoints did with each request, by its id.
#[derive(Default)]
struct EndpointLog {
    /// The endpoints that executed it, once for each execution.
    executions: Mutex<HashMap<String, Vec<usize>>>,
    /// The statuses that were sent for it.
    statuses: Mutex<HashMap<String, BTreeSet<u16>>>,
}

impl EndpointLog {
    fn executed(&self, id: &str, endpoint: usize, status: u16) {
        self.executions.lock().unwrap().entry(id.to_owned()).or_default().push(endpoint);
        self.statuses.lock().unwrap().entry(id.to_owned()).or_default().insert(status);
    }

    fn rejected(&self, id: &str, status: u16) {
        self.statuses.lock().unwrap().entry(id.to_owned()).or_default().insert(status);
    }
}

fn complete_body(id: &str, endpoint: usize) -> String {
    let length = seeded_hash(9, id) as usize % 3_000;
    format!("{id} at {endpoint} {} end of {id} at {endpoint}", "b".repeat(length))
}

fn head(status: u16, id: &str, more: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nX-Passrelay-Request-Id: {id}\r\nX-Passrelay-Response-Seal: seal-{id}\r\n{more}")
}

fn with_length(status: u16, id: &str, more: &str, body: &str) -> String {
    format!("{}Content-Length: {}\r\n\r\n{body}", head(status, id, more), body.len())
}

/// What an endpoint does with the connection after an exchange.
enum AfterExchange {
    KeepAlive,
    Close,
    Reset,
}

/// One exchange of an endpoint. `kind`, from 0 to 119, selects how it goes wrong; the kinds without an arm are complete
/// answers on a connection that stays open.
fn misbehave(kind: u64, id: &str, endpoint: usize, log: &EndpointLog, sock: &mut TcpStream) -> AfterExchange {
    if matches!(kind, 40..=47) {
        return reject(kind, id, log, sock);
    }
    log.executed(id, endpoint, if kind == 30 { 500 } else { 200 });
    let body = complete_body(id, endpoint);
    let complete = with_length(200, id, "", &body);
    let half = &complete.as_bytes()[..complete.len() - body.len() / 2 - 1];
    let mut write = |bytes: &[u8]| drop(sock.write_all(bytes));
    match kind {
        // A second answer, at once or late.
        0 | 1 => write(&[complete.as_bytes(), complete.as_bytes()].concat()),
        2 | 3 => {
            write(complete.as_bytes());
            std::thread::sleep(Duration::from_millis(if kind == 2 { 5 } else { 50 }));
            write(complete.as_bytes());
        }
        4 => write(&[complete.as_bytes(), b"noise after the answer"].concat()),
        // Another id, or none.
        5 | 6 => write(with_length(200, "another", "", "not yours end").as_bytes()),
        7 => write(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nnot yours"),
        // Truncated before the head, in the head and in the body; closed and reset.
        8 => return AfterExchange::Close,
        9 => return AfterExchange::Reset,
        10 => {
            write(&complete.as_bytes()[..20]);
            return AfterExchange::Close;
        }
        11 | 12 => {
            write(half);
            return AfterExchange::Close;
        }
        13 | 14 => {
            write(half);
            return AfterExchange::Reset;
        }
        // Chunked, complete and truncated.
        15..=18 => return answer_in_chunks(kind, id, &body, sock),
        // Without a length: ended by the close, or reset before it.
        19..=21 => {
            let start = format!("{}\r\n", head(200, id, "Connection: close\r\n"));
            write(start.as_bytes());
            write(if kind == 19 { &body.as_bytes()[..body.len() / 2] } else { body.as_bytes() });
            return if kind == 19 { AfterExchange::Reset } else { AfterExchange::Close };
        }
        // Complete, and the connection is closed or reset.
        22..=24 => {
            write(complete.as_bytes());
            return if kind == 22 { AfterExchange::Reset } else { AfterExchange::Close };
        }
        30 => write(with_length(500, id, "", "it failed").as_bytes()),
        31 => write(b"\x00\x01 no answer at all \r\n\r\n"),
        32 => std::thread::sleep(Duration::from_millis(700)),
        _ => write(complete.as_bytes()),
    }
    AfterExchange::KeepAlive
}

/// A chunked answer, truncated after its first chunk for the kinds 15 and 16.
fn answer_in_chunks(kind: u64, id: &str, body: &str, sock: &mut TcpStream) -> AfterExchange {
    let (first, second) = body.split_at(body.len() / 2);
    let start = format!("{}Transfer-Encoding: chunked\r\n\r\n", head(200, id, ""));
    let _ = sock.write_all(format!("{start}{:x}\r\n{first}\r\n", first.len()).as_bytes());
    match kind {
        15 => AfterExchange::Close,
        16 => AfterExchange::Reset,
        _ => {
            let _ = sock.write_all(format!("{:x}\r\n{second}\r\n0\r\n\r\n", second.len()).as_bytes());
            AfterExchange::KeepAlive
        }
    }
}

/// Rejects a request without executing it, with an answer that is truncated for the kinds 46 and 47.
fn reject(kind: u64, id: &str, log: &EndpointLog, sock: &mut TcpStream) -> AfterExchange {
    let (status, not_executed, body) = match kind {
        40..=42 => (503, "X-Passrelay-Not-Executed: full\r\n", "full"),
        43 => (421, "", ""),
        44 | 45 => (429, "X-Passrelay-Not-Executed: busy\r\n", "busy"),
        _ => (503, "X-Passrelay-Not-Executed: full\r\n", "full of other requests"),
    };
    log.rejected(id, status);
    let answer = with_length(status, id, not_executed, body);
    let length = if kind >= 46 { answer.len() - 8 } else { answer.len() };
    let _ = sock.write_all(&answer.as_bytes()[..length]);
    match kind {
        46 => AfterExchange::Close,
        47 => AfterExchange::Reset,
        _ => AfterExchange::KeepAlive,
    }
}

fn serve_endpoint(seed: u64, endpoint: usize, log: &EndpointLog, sock: TcpStream) {
    let mut sock = sock;
    let Ok(copy) = sock.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(message) = Message::read(&mut reader) {
        let Some(id) = message.header("x-passrelay-request-id").map(str::to_owned) else { return };
        // 36 of the 120 kinds go wrong in some way.
        let kind = seeded_hash(seed, (&id, endpoint)) % 120;
        match misbehave(kind, &id, endpoint, log, &mut sock) {
            AfterExchange::KeepAlive => {}
            AfterExchange::Close => return,
            AfterExchange::Reset => {
                let _ = socket2::SockRef::from(&sock).set_linger(Some(Duration::ZERO));
                return;
            }
        }
    }
}

/// What a client read.
struct ClientAnswer {
    status: u16,
    seal: Option<String>,
    body: Vec<u8>,
    complete: bool,
}

/// Reads one answer; `None` where the connection ended before any.
fn read_answer(reader: &mut BufReader<TcpStream>) -> Option<ClientAnswer> {
    let mut line = String::new();
    reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
    let status = line.split(' ').nth(1)?.parse().ok()?;
    let mut headers = BTreeMap::new();
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let Some((name, value)) = line.trim_end().split_once(':') else { break };
        headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    let seal = headers.get("x-passrelay-response-seal").cloned();
    let mut body = Vec::new();
    let complete = match headers.get("content-length").and_then(|l| l.parse::<usize>().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(&mut body).is_ok()
        }
        None => read_chunks(reader, &mut body).is_some(),
    };
    Some(ClientAnswer { status, seal, body, complete })
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> Option<()> {
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|n| *n > 0)?;
        let length = usize::from_str_radix(line.trim(), 16).ok()?;
        let mut chunk = vec![0; length + 2];
        reader.read_exact(&mut chunk).ok()?;
        if length == 0 {
            return Some(());
        }
        body.extend_from_slice(&chunk[..length]);
    }
}

/// A route of the configuration under test.
struct Route {
    name: &'static str,
    kind: &'static str,
    max_attempts: u64,
    /// Whether its requests may be executed at most once.
    at_most_once: bool,
}

const ROUTES: [Route; 3] = [
    Route { name: "open", kind: "unsafe", max_attempts: 1, at_most_once: true },
    Route { name: "look", kind: "safe", max_attempts: 2, at_most_once: false },
    Route { name: "sum", kind: "streaming", max_attempts: 1, at_most_once: true },
];

/// One request and what its client received.
struct Exchange {
    id: String,
    at_most_once: bool,
    /// `None` without a complete answer.
    status: Option<u16>,
}

/// One client: request after request, on reused and new connections; at times it disconnects without waiting for the answer.
fn client(
    seed: u64,
    number: u64,
    exchanges: u64,
    sidecar: &Sidecar,
    violations: &Mutex<Vec<String>>,
) -> Vec<Exchange> {
    let mut exchanges_done = Vec::new();
    let mut idle: Option<BufReader<TcpStream>> = None;
    for index in 0..exchanges {
        let id = format!("{number:04x}{index:08x}");
        let random = seeded_hash(seed, ("client", &id));
        let Route { name: route, at_most_once, .. } = ROUTES[random as usize % ROUTES.len()];
        let body = "q".repeat(random as usize / 7 % 2_000);
        let text = format!(
            "POST /{route}/x HTTP/1.1\r\nHost: lot.example\r\nX-Passrelay-Request-Id: {id}\r\n\
             X-Passrelay-Deadline-Ms: 400\r\nAuthorization: Bearer key-1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut reader = idle.take().unwrap_or_else(|| BufReader::new(sidecar.client()));
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            continue;
        }
        if random / 11 % 20 == 0 {
            // It disconnects before, while or after its request is forwarded.
            std::thread::sleep(Duration::from_micros(random / 13 % 3_000));
            exchanges_done.push(Exchange { id, at_most_once, status: None });
            continue;
        }
        let answer = read_answer(&mut reader);
        if let Some(answer) = &answer {
            if let Some(violation) = violation_in(&id, answer) {
                violations.lock().unwrap().push(violation);
            }
            idle = Some(reader).filter(|_| answer.complete && random / 17 % 4 != 0);
        }
        exchanges_done.push(Exchange {
            id,
            at_most_once,
            status: answer.filter(|a| a.complete).map(|a| a.status),
        });
    }
    exchanges_done
}

/// What shows by itself that an answer is not the one to this request, or not complete.
fn violation_in(id: &str, answer: &ClientAnswer) -> Option<String> {
    let sealed = answer.seal.is_some();
    if sealed && answer.seal.as_deref() != Some(&format!("seal-{id}")) {
        return Some(format!("{id}: the seal of another: {:?}", answer.seal));
    }
    if answer.status != 200 || !answer.complete {
        return None;
    }
    let text = String::from_utf8_lossy(&answer.body);
    let own = (0..ENDPOINTS).any(|endpoint| text == complete_body(id, endpoint));
    (!own || !sealed).then(|| format!("{id}: not its answer, or not whole: {:.60}", text))
}

fn configuration() -> Value {
    let route = |route: &Route| {
        json!({ "name": route.name, "hostname": "lot.example", "path-prefix": format!("/{}/", route.name),
            "route-type": route.kind, "timeout-ms": 5000, "target-latency-ms": 1000, "backend": "bays",
            "max-attempts": route.max_attempts, "resumable": false })
    };
    json!({
        "generation": 3,
        "routes": ROUTES.iter().map(route).collect::<Vec<_>>(),
        "services": [{ "name": "bays", "max-connections": 400 }],
        "tenants": [{ "name": "family", "api-keys": ["key-1"] }],
    })
}

fn send_heartbeats(sidecar: &Sidecar, addresses: &[SocketAddr], done: &AtomicBool) {
    for sequence in 2.. {
        std::thread::sleep(HEARTBEAT_INTERVAL);
        if done.load(Ordering::SeqCst) {
            break;
        }
        for (endpoint, address) in addresses.iter().enumerate() {
            sidecar.heartbeat(&format!("i-{endpoint}"), "bays", *address, "ready", sequence);
        }
    }
}

/// Requests that were executed too often, or although their client got a status that guarantees that they weren't.
fn execution_violations(exchanges: &[Exchange], log: &EndpointLog) -> Vec<String> {
    let executions = log.executions.lock().unwrap();
    let mut violations = Vec::new();
    for exchange in exchanges {
        let ran = executions.get(&exchange.id).map_or(0, Vec::len);
        let max = if exchange.at_most_once { 1 } else { 2 };
        if ran > max {
            violations.push(format!("{} ran {ran} times, {max} at most", exchange.id));
        }
        let guarantee = exchange.status.filter(|status| NOT_EXECUTED_STATUSES.contains(status));
        if let Some(status) = guarantee.filter(|_| exchange.at_most_once && ran > 0) {
            violations.push(format!("{} ran and got {status}, which guarantees that it didn't", exchange.id));
        }
    }
    violations
}

#[test]
fn an_answer_goes_to_its_caller_alone_and_what_may_not_be_repeated_runs_once() {
    let from_environment = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let exchanges = from_environment("EXCHANGES").unwrap_or(DEFAULT_EXCHANGES);
    let seed = from_environment("EXCHANGE_SEED").unwrap_or(1);
    let log = Arc::new(EndpointLog::default());
    let fleet = Fleet::new(PROGRAM, 1);
    let start = |endpoint: usize| {
        let log = log.clone();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        serve_connections(listener, move |_, sock| serve_endpoint(seed, endpoint, &log, sock))
    };
    let addresses: Vec<_> = (0..ENDPOINTS).map(start).collect();
    let sidecar = fleet.start_serving(&addresses, &configuration());
    let done = AtomicBool::new(false);
    let violations = Mutex::new(Vec::new());
    let exchanges_done: Vec<Exchange> = std::thread::scope(|scope| {
        let (sidecar, violations, done, addresses) = (&sidecar, &violations, &done, &addresses);
        // Endpoints stay registered until all clients are done.
        scope.spawn(move || send_heartbeats(sidecar, addresses, done));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || client(seed, number, exchanges / CLIENTS, sidecar, violations)))
            .collect();
        let exchanges_done = clients.into_iter().flat_map(|client| client.join().unwrap()).collect();
        done.store(true, Ordering::SeqCst);
        exchanges_done
    });
    std::thread::sleep(EXECUTION_TIMEOUT);
    let mut violations = violations.into_inner().unwrap();
    violations.extend(execution_violations(&exchanges_done, &log));
    let served = exchanges_done.iter().filter(|exchange| exchange.status == Some(200)).count();
    println!(
        "{} exchanges, {served} served, {} with an answer of an endpoint",
        exchanges_done.len(),
        log.statuses.lock().unwrap().len()
    );
    assert!(
        violations.is_empty(),
        "seed {seed}, {} violations: {:#?}",
        violations.len(),
        &violations[..violations.len().min(10)]
    );
    assert!(served as u64 > exchanges / 4, "only {served} were served");
}

// ---- The checks find what broken proxies do ----

const ID: &str = "0001000000000007";
const OTHER_ID: &str = "0002000000000009";

fn sealed(id: &str, body: impl Into<Vec<u8>>) -> ClientAnswer {
    ClientAnswer { status: 200, seal: Some(format!("seal-{id}")), body: body.into(), complete: true }
}

/// Half of one endpoint's answer and half of another one's.
fn joined_halves() -> String {
    let (first, second) = (complete_body(ID, 0), complete_body(ID, 1));
    let middle = first.len() / 2;
    format!("{}{}", &first[..middle], &second[middle..])
}

#[rstest]
#[case::answer_of_another_request(sealed(OTHER_ID, complete_body(OTHER_ID, 0)))]
#[case::head_of_another_request(sealed(OTHER_ID, complete_body(ID, 0)))]
#[case::body_of_another_request(sealed(ID, complete_body(OTHER_ID, 0)))]
#[case::success_without_a_seal(ClientAnswer { seal: None, ..sealed(ID, complete_body(ID, 0)) })]
#[case::truncated_and_passed_off_as_whole(sealed(ID, &complete_body(ID, 0).as_bytes()[..30]))]
#[case::more_bytes_than_the_answer(sealed(ID, complete_body(ID, 0) + "noise"))]
#[case::two_runs_joined(sealed(ID, joined_halves()))]
#[case::failure_under_the_seal_of_another(ClientAnswer { status: 500, ..sealed(OTHER_ID, "it failed") })]
fn a_wrong_answer_is_found(#[case] answer: ClientAnswer) {
    assert!(violation_in(ID, &answer).is_some());
}

#[rstest]
#[case::its_own(sealed(ID, complete_body(ID, 2)))]
#[case::cut_off(ClientAnswer { complete: false, ..sealed(ID, &complete_body(ID, 2).as_bytes()[..30]) })]
#[case::refused(ClientAnswer { status: 503, seal: None, body: Vec::new(), complete: true })]
fn an_answer_of_its_own_or_none_is_no_violation(#[case] answer: ClientAnswer) {
    assert_eq!(violation_in(ID, &answer), None);
}

#[rstest]
#[case::run_twice(true, 2, Some(200), 1)]
#[case::run_twice_without_an_answer(true, 2, None, 1)]
#[case::refused_although_it_ran(true, 1, Some(503), 1)]
#[case::refused_after_two_runs(true, 2, Some(429), 2)]
#[case::run_more_often_than_its_attempts(false, 3, Some(200), 1)]
#[case::run_once(true, 1, Some(200), 0)]
#[case::never_run_and_refused(true, 0, Some(503), 0)]
#[case::repeatable_and_run_twice(false, 2, Some(200), 0)]
fn a_run_too_many_or_a_broken_promise_is_found(
    #[case] at_most_once: bool,
    #[case] runs: usize,
    #[case] status: Option<u16>,
    #[case] violations: usize,
) {
    let log = EndpointLog::default();
    (0..runs).for_each(|endpoint| log.executed(ID, endpoint, 200));
    let exchange = Exchange { id: ID.to_owned(), at_most_once, status };
    assert_eq!(execution_violations(&[exchange], &log).len(), violations);
}
