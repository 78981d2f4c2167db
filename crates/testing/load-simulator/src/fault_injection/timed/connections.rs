//! Connections between processes: sending, losing, closing, and what arrives.

use super::*;

impl World {
    pub(super) fn call(&mut self, from: ProcId, to: ProcId) -> ConnId {
        self.conns.push(Conn {
            ends: [from, to],
            open: [true, true],
            last: [self.now; 2],
            held: [VecDeque::new(), VecDeque::new()],
        });
        let conn = self.conns.len() - 1;
        self.send(conn, 0, Item::Open);
        conn
    }

    /// Sends from an end of a connection.
    pub(super) fn send(&mut self, conn: ConnId, end: usize, item: Item) {
        let c = &mut self.conns[conn];
        let (from, to) = (c.ends[end], c.ends[1 - end]);
        if self.cut[from][to] || !c.held[end].is_empty() {
            c.held[end].push_back(item);
            return;
        }
        let delay = self.delay * self.random.random_range(0.2..2.0);
        let c = &mut self.conns[conn];
        let time = (self.now + delay).max(c.last[end] + 1e-7);
        c.last[end] = time;
        self.at(time, Event::Arrive { conn, to: 1 - end, item });
    }

    pub(super) fn close(&mut self, conn: ConnId, end: usize) {
        if std::mem::replace(&mut self.conns[conn].open[end], false) {
            self.send(conn, end, Item::Close);
        }
    }

    pub(super) fn heal(&mut self, from: ProcId, to: ProcId) {
        self.cut[from][to] = false;
        for conn in 0..self.conns.len() {
            for end in 0..2 {
                let c = &mut self.conns[conn];
                if c.ends[end] == from && c.ends[1 - end] == to && !c.held[end].is_empty() {
                    for item in std::mem::take(&mut c.held[end]) {
                        self.send(conn, end, item);
                    }
                }
            }
        }
    }

    pub(super) fn arrive(&mut self, conn: ConnId, end: usize, item: Item) {
        let proc = self.conns[conn].ends[end];
        let p = &mut self.procs[proc];
        if p.stopped {
            p.inbox.push_back((conn, end, item));
        } else if !p.up || matches!(&p.role, Role::Voter(desk) if desk.durable.is_none()) {
            self.close(conn, end);
        } else if self.conns[conn].open[end] {
            self.take(proc, conn, end, item);
        }
    }

    pub(super) fn take(&mut self, proc: ProcId, conn: ConnId, end: usize, item: Item) {
        let now = self.local(proc);
        let frame = match &item {
            Item::Bytes(bytes) => match decode(FLEET, bytes) {
                Ok(Some((frame, _))) => Some(frame),
                _ => return self.close(conn, end),
            },
            _ => None,
        };
        if matches!(item, Item::Close) {
            self.conns[conn].open[end] = false;
        }
        let other = self.conns[conn].ends[1 - end];
        match &mut self.procs[proc].role {
            Role::Voter(desk) => {
                let Some(durable) = &mut desk.durable else { return };
                match (frame, end) {
                    (Some(frame), 0) if desk.called[other] == Some(conn) => {
                        durable.receive_from_voter(other as u64 + 1, frame);
                    }
                    (Some(frame), 1) => {
                        let keep = durable.receive(conn as u64, frame, now);
                        if !keep {
                            durable.inbound_closed(conn as u64);
                            self.close(conn, end);
                        }
                    }
                    (None, 0) if desk.called[other] == Some(conn) => {
                        desk.called[other] = None;
                        durable.outbound_down(other as u64 + 1);
                    }
                    (None, 1) if matches!(item, Item::Close) => durable.inbound_closed(conn as u64),
                    _ => {}
                }
                self.turn(proc);
            }
            Role::Client(member) => {
                if member.conn != Some(conn) {
                    return;
                }
                match frame {
                    Some(Frame::Response(answer)) => member.client.receive(answer, now),
                    Some(_) => {}
                    None => {
                        member.conn = None;
                        member.client.disconnected();
                    }
                }
                self.serve(proc);
            }
            Role::Operator(operator) => match frame {
                Some(Frame::Response(ClientResponse::MembershipChanged { request_id: ticket, outcome }))
                    if ticket == operator.ticket =>
                {
                    let order = operator.orders.pop_front();
                    operator.ticket += 1;
                    self.say(format!("done: {order:?}, {outcome:?}"));
                }
                None if operator.conn == Some(conn) => operator.conn = None,
                _ => {}
            },
        }
    }

    // Time.
}
