//! What the system says of processes and sockets: whether something has happened that only the kernel knows of.

use crate::wait_until;
use std::net::SocketAddr;

/// State of a socket in `/proc/net/tcp` whose connection has been asked for and not come up.
const SYN_SENT: &str = "02";
/// State of a socket that has sent its end and had it acknowledged, and not heard that of the other side.
const FIN_WAIT_2: &str = "05";

/// A socket of this machine, as `/proc/net/tcp` lists it.
struct ListedSocket {
    local: String,
    remote: String,
    state: String,
}

fn listed_sockets() -> Vec<ListedSocket> {
    let list = std::fs::read_to_string("/proc/net/tcp").expect("the list of sockets");
    let socket = |line: &str| {
        let mut columns = line.split_ascii_whitespace().skip(1).map(str::to_owned);
        Some(ListedSocket { local: columns.next()?, remote: columns.next()?, state: columns.next()? })
    };
    list.lines().skip(1).filter_map(socket).collect()
}

/// A loopback address as `/proc/net/tcp` writes it.
fn listed_address(address: SocketAddr) -> String {
    format!("0100007F:{:04X}", address.port())
}

/// Whether the other side's system has acknowledged the end of the loopback connection from this address.
pub fn is_fin_acknowledged(own: SocketAddr) -> bool {
    let own = listed_address(own);
    listed_sockets().iter().any(|socket| socket.local == own && socket.state == FIN_WAIT_2)
}

/// Whether some process waits for a connection to this loopback address to come up.
pub fn is_connecting(address: SocketAddr) -> bool {
    let address = listed_address(address);
    listed_sockets().iter().any(|socket| socket.remote == address && socket.state == SYN_SENT)
}

/// Waits until a process that was sent SIGSTOP stands still, so that whatever happens next happens before its next turn.
pub fn wait_until_stopped(pid: u32) {
    let status = format!("/proc/{pid}/status");
    wait_until("it stands still", || {
        std::fs::read_to_string(&status).is_ok_and(|text| text.contains("\nState:\tT"))
    });
}
