//! The state of processes and sockets according to the kernel, for conditions that cannot be observed otherwise.

use crate::wait_until;
use std::net::SocketAddr;

/// State in `/proc/net/tcp` of a socket that has sent a SYN and received no answer yet.
const SYN_SENT: &str = "02";
/// State in `/proc/net/tcp` of a socket whose FIN was acknowledged and whose peer has not sent a FIN yet.
const FIN_WAIT_2: &str = "05";

/// A TCP socket of this machine, as listed in `/proc/net/tcp`.
struct ListedSocket {
    local: String,
    remote: String,
    state: String,
}

fn listed_sockets() -> Vec<ListedSocket> {
    let list = std::fs::read_to_string("/proc/net/tcp").expect("cannot read /proc/net/tcp");
    let socket = |line: &str| {
        let mut columns = line.split_ascii_whitespace().skip(1).map(str::to_owned);
        Some(ListedSocket { local: columns.next()?, remote: columns.next()?, state: columns.next()? })
    };
    list.lines().skip(1).filter_map(socket).collect()
}

/// Formats the address 127.0.0.1 with the port of `address` as in `/proc/net/tcp`.
fn listed_address(address: SocketAddr) -> String {
    format!("0100007F:{:04X}", address.port())
}

/// Returns whether the peer's kernel has acknowledged the FIN of the loopback connection with this local address.
pub fn is_fin_acknowledged(own: SocketAddr) -> bool {
    let own = listed_address(own);
    listed_sockets().iter().any(|socket| socket.local == own && socket.state == FIN_WAIT_2)
}

/// Returns whether some process is waiting for a connection to this loopback address to be established.
pub fn is_connecting(address: SocketAddr) -> bool {
    let address = listed_address(address);
    listed_sockets().iter().any(|socket| socket.remote == address && socket.state == SYN_SENT)
}

/// Waits until a process that was sent SIGSTOP is stopped, so that it takes no further step before it is resumed.
pub fn wait_until_stopped(pid: u32) {
    let status = format!("/proc/{pid}/status");
    wait_until(&format!("process {pid} is stopped"), || {
        std::fs::read_to_string(&status).is_ok_and(|text| text.contains("\nState:\tT"))
    });
}
