//! Open-loop load on a running sidecar: the experiment's callers, on sockets.
//!
//! Calls go out when the experiment says, whether or not earlier ones have been answered, and a call's latency
//! runs from that moment also where the load itself was late. Guards against coordinated omission: a stalled sidecar
//! must not keep the calls away that would have shown the stall.

use super::wire::{wait, Conn, Message};
use crate::experiment::Experiment;
use crate::meter::{Cause, Meter, Outcome};
use crate::model::caller::{retry_wait, Call, Source, TryResult};
use crate::queue::{nanos, seconds, Nanos, Queue};
use crate::random::Streams;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};
use slab::Slab;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

/// After the last call it goes on for as long as anyone waits, and this much longer at the most.
const TAIL_S: f64 = 5.0;
/// A connection that has been idle for so long is not used again: the sidecar closes it after 10 s.
const IDLE_S: f64 = 8.0;

enum Happens {
    Arrive,
    Try(usize, u32),
    Impatient(usize, u32),
}

struct Line {
    conn: Conn,
    /// The call that waits on it, and the number of its try.
    call: Option<(usize, u32)>,
    idle_since: Nanos,
}

/// What the load has seen, for a live line.
#[derive(Clone, Copy, Debug, Default)]
pub struct Live {
    /// Seconds since the start.
    pub at_s: f64,
    /// Calls so far.
    pub calls: u64,
    /// Served so far.
    pub served: u64,
    /// Refused tries so far.
    pub refused: u64,
    /// Failed tries so far.
    pub failed: u64,
    /// Calls under way.
    pub open: usize,
    /// How late calls went out at the worst, in seconds.
    pub late_s: f64,
}

/// Load on one sidecar.
pub struct Load<'a> {
    e: &'a Experiment,
    sidecar: SocketAddr,
    poll: Poll,
    source: Source,
    calls: Slab<Call>,
    lines: Slab<Line>,
    idle: Vec<usize>,
    queue: Queue<Happens>,
    began: Instant,
    tries: u32,
    run: u32,
    arriving: bool,
    meter: Meter,
    live: Live,
}

impl<'a> Load<'a> {
    /// Load on the sidecar at this address.
    ///
    /// # Errors
    ///
    /// Says what is wrong with captured arrivals, or that there is no poller.
    pub fn new(e: &'a Experiment, sidecar: SocketAddr, seed: u64) -> Result<Load<'a>, String> {
        let streams = Streams::new(seed);
        Ok(Load {
            source: Source::new(e, &streams)?,
            meter: Meter::new(e),
            poll: Poll::new().map_err(|e| e.to_string())?,
            e,
            sidecar,
            calls: Slab::new(),
            lines: Slab::new(),
            idle: Vec::new(),
            queue: Queue::default(),
            began: Instant::now(),
            tries: 0,
            // Ids are never used twice, also not by two loads on one sidecar.
            run: std::process::id(),
            arriving: true,
            live: Live::default(),
        })
    }

    fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    /// Plays the load to its end, or until told to stop. `show` is called now and then.
    ///
    /// # Errors
    ///
    /// Fails when the poller does.
    pub fn play(&mut self, stop: &AtomicBool, mut show: impl FnMut(&Live)) -> io::Result<Outcome> {
        let longest = self.e.class.iter().map(|c| c.deadline_s).fold(0.0, f64::max);
        let last = nanos(self.e.length_s + longest + TAIL_S);
        match self.source.next_at(0) {
            Some(first) => self.queue.put(first, Happens::Arrive),
            None => self.arriving = false,
        }
        let mut events = Events::with_capacity(1024);
        let mut shown = Instant::now();
        while (self.arriving || !self.calls.is_empty()) && self.now() < last && !stop.load(Ordering::SeqCst) {
            let now = self.now();
            let due = self.queue.next_time().map(|at| Duration::from_nanos(at.saturating_sub(now)));
            wait(&mut self.poll, &mut events, due)?;
            let tokens: Vec<usize> = events.iter().map(|e| e.token().0).collect();
            tokens.into_iter().for_each(|key| self.ready(key));
            let now = self.now();
            while let Some(at) = self.queue.next_time().filter(|at| *at <= now) {
                match self.queue.take() {
                    Some(Happens::Arrive) => self.arrive(at),
                    Some(Happens::Try(call, number)) => self.try_call(call, number),
                    Some(Happens::Impatient(call, number)) => {
                        self.heard(call, number, TryResult::Nothing, Cause::GivenUp);
                    }
                    None => {}
                }
            }
            if shown.elapsed() >= Duration::from_millis(500) {
                shown = Instant::now();
                (self.live.at_s, self.live.open) = (seconds(self.now()), self.calls.len());
                show(&self.live);
            }
        }
        (self.live.at_s, self.live.open) = (seconds(self.now()), self.calls.len());
        Ok(self.meter.outcome(self.e, "sockets", 0))
    }

    /// What has been seen so far.
    pub fn live(&self) -> Live {
        self.live
    }

    fn arrive(&mut self, at: Nanos) {
        // The call's clock starts when it was due, not when the load came to it.
        self.live.late_s = self.live.late_s.max(seconds(self.now().saturating_sub(at)));
        self.live.calls += 1;
        let call = self.calls.insert(self.source.call(at));
        self.try_call(call, 0);
        match self.source.next_at(at) {
            Some(next) => self.queue.put(next, Happens::Arrive),
            None => self.arriving = false,
        }
    }

    fn try_call(&mut self, key: usize, number: u32) {
        let now = self.now();
        let Some(call) = self.calls.get_mut(key).filter(|c| c.current_try == number) else { return };
        self.tries += 1;
        (call.tries, call.current_try) = (call.tries + 1, self.tries);
        let number = self.tries;
        let patience = call.patience.min(call.give_up_at.saturating_sub(now));
        let class = &self.e.class[call.class as usize];
        let method = if class.safe { "GET" } else { "POST" };
        let tenant = self.e.tenant.get(call.tenant as usize).map_or("nobody", |t| t.name.as_str());
        let again = if self.e.callers.mark_repeats && call.tries > 1 { "X-Again: 1\r\n" } else { "" };
        let length = if class.safe { "" } else { "Content-Length: 0\r\n" };
        let text = format!(
            "{method} /{}/x HTTP/1.1\r\nHost: sidecar\r\nX-Call-Id: {:08x}{number:08x}\r\nX-Call-Class: {}\r\n\
             X-Caller: {tenant}\r\nX-Budget: {:.3}\r\nX-Call-Info: work={:.6}\r\n{again}{length}\r\n",
            class.name,
            self.run,
            class.name,
            seconds(patience),
            call.work
        );
        self.queue.put(now + patience, Happens::Impatient(key, number));
        while let Some(line) = self.idle.pop() {
            let usable = self.lines.get(line).is_some_and(|l| seconds(now - l.idle_since) < IDLE_S);
            if !usable {
                self.close(line);
                continue;
            }
            let l = &mut self.lines[line];
            l.call = Some((key, number));
            if !l.conn.put(text.as_bytes()) {
                self.close(line);
                self.lost(key, number);
            }
            return;
        }
        let Ok(mut sock) = TcpStream::connect(self.sidecar) else {
            return self.heard(key, number, TryResult::Unreachable, Cause::NoSidecar);
        };
        let entry = self.lines.vacant_entry();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut sock, Token(entry.key()), interest).is_err() {
            return self.heard(key, number, TryResult::Unreachable, Cause::NoSidecar);
        }
        let line = entry.insert(Line { conn: Conn::new(sock), call: Some((key, number)), idle_since: now });
        line.conn.put(text.as_bytes());
    }

    fn close(&mut self, line: usize) -> Option<(usize, u32)> {
        let mut line = self.lines.try_remove(line)?;
        let _ = self.poll.registry().deregister(&mut line.conn.sock);
        line.call
    }

    fn lost(&mut self, call: usize, number: u32) {
        self.heard(call, number, TryResult::Failed, Cause::SidecarLost);
    }

    fn ready(&mut self, key: usize) {
        let now = self.now();
        let Some(line) = self.lines.get_mut(key) else { return };
        let open = line.conn.flush() && line.conn.fill();
        match line.conn.take(true) {
            Ok(Some(message)) => {
                let call = line.call.take();
                if open && !message.close {
                    line.idle_since = now;
                    self.idle.push(key);
                } else {
                    self.close(key);
                }
                if let Some((call, number)) = call {
                    self.answered(call, number, &message);
                }
            }
            Ok(None) if open => {}
            _ => {
                self.idle.retain(|k| *k != key);
                if let Some((call, number)) = self.close(key) {
                    self.lost(call, number);
                }
            }
        }
    }

    fn answered(&mut self, call: usize, number: u32, message: &Message) {
        match message.status {
            200 => self.heard(call, number, TryResult::Served, Cause::Late),
            429 | 503 => {
                self.live.refused += 1;
                self.heard(
                    call,
                    number,
                    TryResult::Refused(message.retry_after),
                    Cause::RefusedAfterAttempts,
                );
            }
            504 => self.heard(call, number, TryResult::Failed, Cause::NodeSilent),
            _ => self.heard(call, number, TryResult::Failed, Cause::NodeError),
        }
    }

    fn heard(&mut self, key: usize, number: u32, heard: TryResult, cause: Cause) {
        let now = self.now();
        let Some(call) = self.calls.get(key).copied().filter(|c| c.current_try == number) else { return };
        if heard == TryResult::Nothing {
            // A caller that gives up closes its connection.
            let own = self.lines.iter().find(|(_, l)| l.call == Some((key, number))).map(|(at, _)| at);
            if let Some(line) = own {
                self.close(line);
            }
        }
        if heard == TryResult::Served {
            self.live.served += 1;
            self.meter.call_ended(now, &call, None);
            self.calls.remove(key);
            return;
        }
        self.live.failed += u64::from(!matches!(heard, TryResult::Refused(_)));
        let safe = self.e.class[call.class as usize].safe;
        match retry_wait(&call, &self.e.callers, safe, heard).filter(|w| now + w < call.give_up_at) {
            Some(wait) => {
                self.calls[key].current_try = 0;
                self.queue.put(now + wait, Happens::Try(key, 0));
            }
            None => {
                self.meter.call_ended(now, &call, Some(cause));
                self.calls.remove(key);
            }
        }
    }
}
