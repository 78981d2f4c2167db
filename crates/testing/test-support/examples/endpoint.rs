//! A test endpoint of the router fleet on loopback. It registers at a sidecar, sends it a heartbeat every second, and
//! responds to every request with a short event stream.
//!
//! `cargo run -p passrelay-test-support --example endpoint -- CONTROL_ADDRESS SERVICE`

use passrelay_test_support::{response, Message, Reply, Server};
use serde_json::json;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::ExitCode;
use std::time::Duration;

const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [control, service] = arguments.as_slice() else {
        eprintln!("usage: endpoint CONTROL_ADDRESS SERVICE");
        return ExitCode::from(2);
    };
    let Ok(control) = control.parse::<SocketAddr>() else {
        eprintln!("invalid control address {control}: expected IP:PORT");
        return ExitCode::from(2);
    };
    let server = Server::start(event_stream);
    let id = format!("i-{}", std::process::id());
    println!("{id} serves {service} at {}", server.address);
    for sequence in 1.. {
        match send_heartbeat(control, &id, service, server.address, sequence) {
            Some(200) => {}
            Some(status) => eprintln!("{control}: the heartbeat was answered with status {status}"),
            None => eprintln!("{control}: no response to the heartbeat"),
        }
        std::thread::sleep(HEARTBEAT_INTERVAL);
    }
    ExitCode::SUCCESS
}

fn event_stream(request: &Message) -> Reply {
    let id = request.header("x-passrelay-request-id").unwrap_or_default();
    let head = format!(
        "Content-Type: text/event-stream\r\nX-Passrelay-Request-Id: {id}\r\nX-Passrelay-Instance-Load: 1,0,8\r\n"
    );
    response(200, &head, b"id: 1\ndata: bay 7\n\nid: 2\ndata: is free\n\n")
}

fn send_heartbeat(
    control: SocketAddr,
    id: &str,
    service: &str,
    address: SocketAddr,
    sequence: u64,
) -> Option<u16> {
    let body = json!({ "backend": service, "address": address.to_string(), "zone": "here", "capacity": 8,
        "state": "ready", "sequence": sequence })
    .to_string();
    let mut stream = TcpStream::connect_timeout(&control, HEARTBEAT_INTERVAL).ok()?;
    stream.set_read_timeout(Some(HEARTBEAT_INTERVAL)).ok()?;
    let head = format!(
        "PUT /instances/{id} HTTP/1.1\r\nHost: c\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).ok()?;
    Some(Message::read(&mut BufReader::new(stream))?.status())
}
