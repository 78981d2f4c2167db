//! Random exchanges between clients, the real sidecar and endpoints that misbehave in every way, over sockets: an answer
//! goes to its caller alone, and a call that may not be repeated runs once.
//!
//! `EXCHANGES=N` plays so many instead of those of CI, `EXCHANGE_SEED=S` others.

use passrelay_test_support::fleet::{Fleet, Sidecar};
use passrelay_test_support::{serve_by, Message};
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");
const ENDPOINTS: usize = 4;
const CLIENTS: u64 = 16;
const EXCHANGES_IN_CI: u64 = 20_000;
/// Statuses by which a sidecar promises that a request has not run and never will.
const PROMISES: [u16; 4] = [408, 421, 429, 503];
/// Runs that are still under way when the last client is done end within this.
const SETTLE: Duration = Duration::from_secs(2);
const HEARTBEAT: Duration = Duration::from_millis(800);

/// Chance that depends on nothing but the seed and names.
fn chance(seed: u64, names: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    (seed, names).hash(&mut hasher);
    hasher.finish()
}

/// What endpoints did with each request: where it ran, and the statuses they gave.
#[derive(Default)]
struct Book {
    runs: Mutex<HashMap<String, Vec<usize>>>,
    given: Mutex<HashMap<String, BTreeSet<u16>>>,
}

impl Book {
    fn ran(&self, id: &str, endpoint: usize, status: u16) {
        self.runs.lock().unwrap().entry(id.to_owned()).or_default().push(endpoint);
        self.given.lock().unwrap().entry(id.to_owned()).or_default().insert(status);
    }

    fn turned_away(&self, id: &str, status: u16) {
        self.given.lock().unwrap().entry(id.to_owned()).or_default().insert(status);
    }
}

fn whole_body(id: &str, endpoint: usize) -> String {
    let length = chance(9, id) as usize % 3_000;
    format!("{id} at {endpoint} {} end of {id}", "b".repeat(length))
}

fn head(status: u16, id: &str, more: &str) -> String {
    format!("HTTP/1.1 {status} X\r\nX-Passrelay-Request-Id: {id}\r\nX-Passrelay-Response-Seal: seal-{id}\r\n{more}")
}

fn with_length(status: u16, id: &str, more: &str, body: &str) -> String {
    format!("{}Content-Length: {}\r\n\r\n{body}", head(status, id, more), body.len())
}

/// What is left of a connection after an exchange.
enum Then {
    Keep,
    Close,
    Reset,
}

/// One exchange of an endpoint that misbehaves.
fn misbehave(kind: u64, id: &str, endpoint: usize, book: &Book, sock: &mut TcpStream) -> Then {
    let body = whole_body(id, endpoint);
    let whole = with_length(200, id, "", &body);
    let half = &whole.as_bytes()[..whole.len() - body.len() / 2 - 1];
    let mut write = |bytes: &[u8]| drop(sock.write_all(bytes));
    if !matches!(kind, 40..=47) {
        book.ran(id, endpoint, if kind == 30 { 500 } else { 200 });
    }
    match kind {
        // A second answer, at once or late.
        0 | 1 => write(&[whole.as_bytes(), whole.as_bytes()].concat()),
        2 | 3 => {
            write(whole.as_bytes());
            std::thread::sleep(Duration::from_millis(if kind == 2 { 5 } else { 50 }));
            write(whole.as_bytes());
        }
        4 => write(&[whole.as_bytes(), b"noise after the answer"].concat()),
        // Another id, or none.
        5 | 6 => write(with_length(200, "another", "", "not yours end").as_bytes()),
        7 => write(b"HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\nnot yours"),
        // Broken off: before, in the head, in the body; closed and reset.
        8 => return Then::Close,
        9 => return Then::Reset,
        10 => {
            write(&whole.as_bytes()[..20]);
            return Then::Close;
        }
        11 | 12 => {
            write(half);
            return Then::Close;
        }
        13 | 14 => {
            write(half);
            return Then::Reset;
        }
        // In chunks, whole and broken off.
        15..=18 => {
            let (one, other) = body.split_at(body.len() / 2);
            let start = format!("{}Transfer-Encoding: chunked\r\n\r\n", head(200, id, ""));
            write(format!("{start}{:x}\r\n{one}\r\n", one.len()).as_bytes());
            if kind == 15 {
                return Then::Close;
            }
            if kind == 16 {
                return Then::Reset;
            }
            write(format!("{:x}\r\n{other}\r\n0\r\n\r\n", other.len()).as_bytes());
        }
        // Without a length: ended by the close, or reset before it.
        19..=21 => {
            let start = format!("{}\r\n", head(200, id, "Connection: close\r\n"));
            write(start.as_bytes());
            write(if kind == 19 { &body.as_bytes()[..body.len() / 2] } else { body.as_bytes() });
            return if kind == 19 { Then::Reset } else { Then::Close };
        }
        // Whole, and the connection is closed or forgotten.
        22..=24 => {
            write(whole.as_bytes());
            return if kind == 22 { Then::Reset } else { Then::Close };
        }
        30 => write(with_length(500, id, "", "it failed").as_bytes()),
        31 => write(b"\x00\x01 no answer at all \r\n\r\n"),
        32 => std::thread::sleep(Duration::from_millis(700)),
        40..=42 => {
            book.turned_away(id, 503);
            write(with_length(503, id, "X-Passrelay-Not-Executed: full\r\n", "full").as_bytes());
        }
        43 => {
            book.turned_away(id, 421);
            write(with_length(421, id, "", "").as_bytes());
        }
        44 | 45 => {
            book.turned_away(id, 429);
            write(with_length(429, id, "X-Passrelay-Not-Executed: busy\r\n", "busy").as_bytes());
        }
        46 | 47 => {
            book.turned_away(id, 503);
            let cut = with_length(503, id, "X-Passrelay-Not-Executed: full\r\n", "full of other requests");
            write(&cut.as_bytes()[..cut.len() - 8]);
            return if kind == 46 { Then::Close } else { Then::Reset };
        }
        _ => write(whole.as_bytes()),
    }
    Then::Keep
}

fn serve_endpoint(seed: u64, endpoint: usize, book: &Book, sock: TcpStream) {
    let mut sock = sock;
    let Ok(copy) = sock.try_clone() else { return };
    let mut reader = BufReader::new(copy);
    while let Some(message) = Message::read(&mut reader) {
        let Some(id) = message.header("x-passrelay-request-id").map(str::to_owned) else { return };
        // Two in five exchanges go wrong in some way.
        let kind = chance(seed, (&id, endpoint)) % 120;
        match misbehave(kind, &id, endpoint, book, &mut sock) {
            Then::Keep => {}
            Then::Close => return,
            Then::Reset => {
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

/// A route's name, and whether its requests may run once at most.
const ROUTES: [(&str, bool); 3] = [("open", true), ("look", false), ("sum", true)];

/// One request and what its client saw.
struct Seen {
    id: String,
    once: bool,
    status: Option<u16>,
}

/// One client: request after request, on kept and new connections, now and then leaving in the middle.
fn client(
    seed: u64,
    number: u64,
    exchanges: u64,
    sidecar: &Sidecar,
    faults: &Mutex<Vec<String>>,
) -> Vec<Seen> {
    let mut all = Vec::new();
    let mut kept: Option<BufReader<TcpStream>> = None;
    for n in 0..exchanges {
        let id = format!("{number:04x}{n:08x}");
        let dice = chance(seed, ("client", &id));
        let (route, once) = ROUTES[dice as usize % ROUTES.len()];
        let body = "q".repeat(dice as usize / 7 % 2_000);
        let text = format!(
            "POST /{route}/x HTTP/1.1\r\nHost: lot.example\r\nX-Passrelay-Request-Id: {id}\r\n\
             X-Passrelay-Deadline-Ms: 400\r\nAuthorization: Bearer key-1\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut reader = kept.take().unwrap_or_else(|| BufReader::new(sidecar.client()));
        if reader.get_mut().write_all(text.as_bytes()).is_err() {
            continue;
        }
        if dice / 11 % 20 == 0 {
            // It leaves before, while or after its request is sent on.
            std::thread::sleep(Duration::from_micros(dice / 13 % 3_000));
            all.push(Seen { id, once, status: None });
            continue;
        }
        let answer = read_answer(&mut reader);
        if let Some(answer) = &answer {
            if let Some(fault) = fault_of(&id, answer) {
                faults.lock().unwrap().push(fault);
            }
            kept = Some(reader).filter(|_| answer.complete && dice / 17 % 4 != 0);
        }
        all.push(Seen { id, once, status: answer.filter(|a| a.complete).map(|a| a.status) });
    }
    all
}

/// What is wrong with an answer on its face.
fn fault_of(id: &str, answer: &ClientAnswer) -> Option<String> {
    let sealed = answer.seal.is_some();
    if sealed && answer.seal.as_deref() != Some(&format!("seal-{id}")) {
        return Some(format!("{id}: the seal of another: {:?}", answer.seal));
    }
    if answer.status != 200 || !answer.complete {
        return None;
    }
    let text = String::from_utf8_lossy(&answer.body);
    let own = (0..ENDPOINTS).any(|endpoint| text == whole_body(id, endpoint));
    (!own || !sealed).then(|| format!("{id}: not its answer, or not whole: {:.60}", text))
}

#[test]
fn an_answer_goes_to_its_caller_alone_and_what_may_not_be_repeated_runs_once() {
    let told = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let exchanges = told("EXCHANGES").unwrap_or(EXCHANGES_IN_CI);
    let seed = told("EXCHANGE_SEED").unwrap_or(1);
    let book = Arc::new(Book::default());
    let fleet = Fleet::new(PROGRAM, 1);
    let sidecar = fleet.start_all().remove(0);
    let start = |endpoint: usize| {
        let book = book.clone();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        serve_by(listener, move |_, sock| serve_endpoint(seed, endpoint, &book, sock))
    };
    let addresses: Vec<_> = (0..ENDPOINTS).map(start).collect();
    for (endpoint, address) in addresses.iter().enumerate() {
        assert_eq!(sidecar.heartbeat(&format!("i-{endpoint}"), "bays", *address, "ready", 1), 200);
    }
    let route = |name: &str, kind: &str, attempts: u64| {
        json!({ "name": name, "hostname": "lot.example", "path-prefix": format!("/{name}/"), "route-type": kind,
            "timeout-ms": 5000, "target-latency-ms": 1000, "backend": "bays", "max-attempts": attempts,
            "resumable": false })
    };
    let configuration = json!({
        "generation": 3,
        "routes": [route("open", "unsafe", 1), route("look", "safe", 2), route("sum", "streaming", 1)],
        "services": [{ "name": "bays", "max-connections": 400 }],
        "tenants": [{ "name": "family", "api-keys": ["key-1"] }],
    });
    assert_eq!(sidecar.put(0, &configuration), 200);
    sidecar.until_ready();
    let done = AtomicBool::new(false);
    let faults = Mutex::new(Vec::new());
    let seen: Vec<Seen> = std::thread::scope(|scope| {
        let (sidecar, faults, done, addresses) = (&sidecar, &faults, &done, &addresses);
        // Endpoints stay known as long as the clients go on.
        scope.spawn(move || {
            for sequence in 2.. {
                std::thread::sleep(HEARTBEAT);
                if done.load(Ordering::SeqCst) {
                    break;
                }
                for (endpoint, address) in addresses.iter().enumerate() {
                    sidecar.heartbeat(&format!("i-{endpoint}"), "bays", *address, "ready", sequence);
                }
            }
        });
        let clients: Vec<_> = (0..CLIENTS)
            .map(|number| scope.spawn(move || client(seed, number, exchanges / CLIENTS, sidecar, faults)))
            .collect();
        let seen = clients.into_iter().flat_map(|c| c.join().unwrap()).collect();
        done.store(true, Ordering::SeqCst);
        seen
    });
    std::thread::sleep(SETTLE);
    let mut faults = faults.into_inner().unwrap();
    let (runs, given) = (book.runs.lock().unwrap(), book.given.lock().unwrap());
    for one in &seen {
        let ran = runs.get(&one.id).map_or(0, Vec::len);
        let most = if one.once { 1 } else { 2 };
        if ran > most {
            faults.push(format!("{} ran {ran} times, {most} at most", one.id));
        }
        if let Some(status) = one.status.filter(|s| PROMISES.contains(s) && one.once && ran > 0) {
            faults.push(format!("{} ran and got the promise {status}", one.id));
        }
    }
    let served = seen.iter().filter(|s| s.status == Some(200)).count();
    println!("{} exchanges, {served} served, {} with an answer of an endpoint", seen.len(), given.len());
    assert!(
        faults.is_empty(),
        "seed {seed}, {} faults: {:#?}",
        faults.len(),
        &faults[..faults.len().min(10)]
    );
    assert!(served as u64 > exchanges / 4, "only {served} were served");
}
