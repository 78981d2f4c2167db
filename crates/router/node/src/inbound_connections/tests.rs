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
    assert!(port.open(ms(1_000)).is_none());
    assert!(port.evict(ms(1_000)));
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
    assert!(!port.evict(ms(200)), "both have only begun");
    assert!(port.evict(ms(1_000)));
    assert!(is_evicted(&body) && !is_evicted(&head));
}

#[test]
fn a_complete_request_is_never_ended_for_a_new_connection() {
    let (port, _) = port(1);
    let serving = port.open(ms(0)).unwrap();
    serving.connection.request_started();
    serving.connection.body_started(ms(0));
    serving.connection.body_finished();
    assert!(!port.evict(ms(60_000)));
    serving.connection.response_started(ms(0));
    assert!(!port.evict(ms(60_000)));
    assert!(!is_evicted(&serving));
}

#[test]
fn a_connection_counts_until_it_is_closed_also_if_it_was_evicted() {
    let (port, _) = port(1);
    let first = port.open(ms(0)).unwrap();
    assert!(port.evict(ms(1_000)) && port.evict(ms(1_000)));
    assert_eq!(port.limit_events(), 1, "the same connection makes room");
    // A request arrives in time.
    first.connection.request_started();
    assert!(first.connection.postpone_eviction());
    assert!(port.open(ms(1_000)).is_none());
    assert!(!port.evict(ms(1_000)));
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

#[test]
fn a_response_that_is_not_read_ends_only_where_its_time_is_limited() {
    let (port, _) = port(1);
    let opened = port.open(ms(0)).unwrap();
    opened.connection.request_started();
    opened.connection.response_started(ms(0));
    let limited = |response| ConnectionTimeouts {
        header: Duration::from_secs(1),
        idle: Duration::from_secs(1),
        response,
    };
    port.sweep(ms(60_000), limited(None));
    port.sweep(ms(900), limited(Some(Duration::from_secs(1))));
    assert!(opened.commands.is_empty());
    port.sweep(ms(1_100), limited(Some(Duration::from_secs(1))));
    assert_eq!(opened.commands.try_recv(), Ok(ConnectionCommand::Abort));
}
