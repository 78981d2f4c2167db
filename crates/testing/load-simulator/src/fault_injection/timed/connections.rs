//! Simulated connections between processes: opening, sending, closing, cut links and deliveries.

use super::*;

impl World {
    pub(super) fn connect(&mut self, from: ProcId, to: ProcId) -> ConnId {
        self.conns.push(Conn {
            ends: [from, to],
            open: [true, true],
            last_arrival: [self.now; 2],
            held: [VecDeque::new(), VecDeque::new()],
        });
        let conn = self.conns.len() - 1;
        self.send(conn, 0, Segment::Open);
        conn
    }

    /// Sends a segment from one end of a connection, or holds it back while that direction is cut.
    pub(super) fn send(&mut self, conn: ConnId, end: usize, segment: Segment) {
        let c = &mut self.conns[conn];
        let (from, to) = (c.ends[end], c.ends[1 - end]);
        if self.cut[from][to] || !c.held[end].is_empty() {
            c.held[end].push_back(segment);
            return;
        }
        let delay = self.delay * self.random.random_range(0.2..2.0);
        let c = &mut self.conns[conn];
        let time = (self.now + delay).max(c.last_arrival[end] + 1e-7);
        c.last_arrival[end] = time;
        self.schedule(time, Event::Arrive { conn, to: 1 - end, segment });
    }

    pub(super) fn close(&mut self, conn: ConnId, end: usize) {
        if std::mem::replace(&mut self.conns[conn].open[end], false) {
            self.send(conn, end, Segment::Close);
        }
    }

    pub(super) fn restore_link(&mut self, from: ProcId, to: ProcId) {
        self.cut[from][to] = false;
        for conn in 0..self.conns.len() {
            for end in 0..2 {
                let c = &mut self.conns[conn];
                if c.ends[end] == from && c.ends[1 - end] == to && !c.held[end].is_empty() {
                    for segment in std::mem::take(&mut c.held[end]) {
                        self.send(conn, end, segment);
                    }
                }
            }
        }
    }

    pub(super) fn arrive(&mut self, conn: ConnId, end: usize, segment: Segment) {
        let proc = self.conns[conn].ends[end];
        let p = &mut self.procs[proc];
        if p.stopped {
            p.inbox.push_back((conn, end, segment));
        } else if !p.up || matches!(&p.role, Role::Voter(host) if host.durable.is_none()) {
            self.close(conn, end);
        } else if self.conns[conn].open[end] {
            self.process_segment(proc, conn, end, segment);
        }
    }

    pub(super) fn process_segment(&mut self, proc: ProcId, conn: ConnId, end: usize, segment: Segment) {
        let now = self.local_time(proc);
        let frame = match &segment {
            Segment::Bytes(bytes) => match decode(FLEET, bytes) {
                Ok(Some((frame, _))) => Some(frame),
                _ => return self.close(conn, end),
            },
            _ => None,
        };
        if matches!(segment, Segment::Close) {
            self.conns[conn].open[end] = false;
        }
        let other = self.conns[conn].ends[1 - end];
        match &mut self.procs[proc].role {
            Role::Voter(host) => {
                let Some(durable) = &mut host.durable else { return };
                match (frame, end) {
                    (Some(frame), 0) if host.outgoing[other] == Some(conn) => {
                        durable.receive_from_voter(other as u64 + 1, frame);
                    }
                    (Some(frame), 1) => {
                        let keep = durable.receive(conn as u64, frame, now);
                        if !keep {
                            durable.inbound_closed(conn as u64);
                            self.close(conn, end);
                        }
                    }
                    (None, 0) if host.outgoing[other] == Some(conn) => {
                        host.outgoing[other] = None;
                        durable.outbound_down(other as u64 + 1);
                    }
                    (None, 1) if matches!(segment, Segment::Close) => durable.inbound_closed(conn as u64),
                    _ => {}
                }
                self.run_voter(proc);
            }
            Role::Client(client_host) => {
                if client_host.conn != Some(conn) {
                    return;
                }
                match frame {
                    Some(Frame::Response(answer)) => client_host.client.receive(answer, now),
                    Some(_) => {}
                    None => {
                        client_host.conn = None;
                        client_host.client.disconnected();
                    }
                }
                self.run_client(proc);
            }
            Role::Operator(operator) => match frame {
                Some(Frame::Response(ClientResponse::MembershipChanged { request_id: ticket, outcome }))
                    if ticket == operator.ticket =>
                {
                    let change = operator.pending_changes.pop_front();
                    operator.ticket += 1;
                    self.log_fault(format!("membership change {change:?} done: {outcome:?}"));
                }
                None if operator.conn == Some(conn) => operator.conn = None,
                _ => {}
            },
        }
    }
}
