use super::*;

const MACHINE_BYTES: u64 = 160_000_000;
const START: Duration = Duration::from_secs(10);

fn ms(milliseconds: u64) -> Duration {
    START + Duration::from_millis(milliseconds)
}

fn port(max_connections: usize) -> (Rc<InboundConnections>, Memory) {
    let memory = Memory::new(MACHINE_BYTES);
    (Rc::new(InboundConnections::new(max_connections, memory.clone())), memory)
}

fn is_evicted(opened: &OpenedConnection) -> bool {
    opened.commands.try_recv() == Ok(ConnectionCommand::Close)
}

#[test]
fn the_connection_that_has_been_idle_longest_is_evicted() {
    let (port, _) = port(3);
    let slow = port.open(ms(0)).unwrap();
    slow.connection.bytes_received(ms(0));
    let longest = port.open(ms(10)).unwrap();
    let other = port.open(ms(20)).unwrap();
    let _new = port.open(ms(1_000)).unwrap();
    assert!(is_evicted(&longest) && !is_evicted(&slow) && !is_evicted(&other));
    assert_eq!(port.limit_events(), 1);
}

#[test]
fn a_connection_with_a_slow_request_is_evicted_if_none_is_idle() {
    let (port, _) = port(2);
    let head = port.open(ms(0)).unwrap();
    head.connection.bytes_received(ms(100));
    let body = port.open(ms(0)).unwrap();
    body.connection.request_started();
    body.connection.body_started(ms(50));
    assert!(port.open(ms(200)).is_none(), "both have only begun");
    let _new = port.open(ms(1_000)).unwrap();
    assert!(is_evicted(&body) && !is_evicted(&head));
}

#[test]
fn a_complete_request_is_never_ended_for_a_new_connection() {
    let (port, _) = port(1);
    let serving = port.open(ms(0)).unwrap();
    serving.connection.request_started();
    serving.connection.body_started(ms(0));
    serving.connection.body_finished();
    assert!(port.open(ms(60_000)).is_none());
    assert!(!is_evicted(&serving));
    assert_eq!(port.status()["refusals"], 1);
}

#[test]
fn a_connection_is_evicted_once_and_counts_again_if_it_stays() {
    let (port, _) = port(1);
    let first = port.open(ms(0)).unwrap();
    let second = port.open(ms(1_000)).unwrap();
    assert!(is_evicted(&first));
    // A request arrived in time, so that the first connection stays and two are open.
    first.connection.request_started();
    first.stays();
    assert_eq!(port.len(), 2);
    let third = port.open(ms(1_000)).unwrap();
    assert!(is_evicted(&second), "the second one makes room");
    drop((second, third));
    assert!(port.open(ms(1_000)).is_none(), "a request is being served on the only place");
    drop(first);
    assert!(port.open(ms(1_000)).is_some());
}

#[test]
fn connections_are_charged_by_their_phase_until_they_are_closed() {
    let (port, memory) = port(2);
    let held = || memory.status()["used_bytes"].as_u64().unwrap();
    let opened = port.open(ms(0)).unwrap();
    assert_eq!(held(), IDLE_CONNECTION_BYTES);
    opened.connection.bytes_received(ms(1));
    assert_eq!(held(), ACTIVE_CONNECTION_BYTES);
    opened.connection.request_started();
    opened.connection.request_finished(ms(2));
    assert_eq!(held(), IDLE_CONNECTION_BYTES);
    drop(opened);
    assert_eq!(held(), 0);
}
