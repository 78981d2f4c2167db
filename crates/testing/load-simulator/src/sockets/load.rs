//! Open-loop load on a running sidecar: the experiment's callers on sockets.
//!
//! Calls are due at the experiment's arrival times, whether or not earlier ones have been answered. A call's latency
//! counts from its due time, even if the load generator was late. This avoids coordinated omission: a stalled sidecar
//! cannot suppress the calls that would have shown the stall.

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

/// Maximum time in seconds for which the run continues after the last deadline, while calls are still open.
const TAIL_S: f64 = 5.0;
/// Seconds after which an idle connection is not reused; the sidecar closes it after 10 s.
const MAX_IDLE_S: f64 = 8.0;

enum LoadEvent {
    Arrive,
    Try(usize, u32),
    PatienceExpired(usize, u32),
}

/// A connection to the sidecar.
struct SidecarConn {
    conn: Conn,
    /// Key of the call that waits for an answer, and the number of its try.
    call: Option<(usize, u32)>,
    idle_since: Nanos,
}

/// Progress of a load, for display.
#[derive(Clone, Copy, Debug, Default)]
pub struct Live {
    /// Seconds since the start.
    pub at_s: f64,
    /// Number of calls so far.
    pub calls: u64,
    /// Number of calls served so far.
    pub served: u64,
    /// Number of refused tries so far.
    pub refused: u64,
    /// Number of failed tries so far.
    pub failed: u64,
    /// Number of calls in progress.
    pub open: usize,
    /// Largest delay with which a call was sent, in seconds.
    pub late_s: f64,
}

/// An open-loop load generator for one sidecar.
pub struct Load<'a> {
    e: &'a Experiment,
    sidecar: SocketAddr,
    poll: Poll,
    source: Source,
    calls: Slab<Call>,
    lines: Slab<SidecarConn>,
    idle: Vec<usize>,
    queue: Queue<LoadEvent>,
    began: Instant,
    tries: u32,
    run: u32,
    arriving: bool,
    meter: Meter,
    live: Live,
}

impl<'a> Load<'a> {
    /// Creates a load on the sidecar at an address.
    ///
    /// # Errors
    ///
    /// Returns a message if the captured arrivals are invalid or no poller can be created.
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
            // Makes call ids unique, even between two load generators on one sidecar.
            run: std::process::id(),
            arriving: true,
            live: Live::default(),
        })
    }

    fn now(&self) -> Nanos {
        self.began.elapsed().as_nanos() as Nanos
    }

    /// Runs the load to its end or until `stop` is set. Calls `show` about every 500 ms.
    ///
    /// # Errors
    ///
    /// Returns an error if polling fails.
    pub fn play(&mut self, stop: &AtomicBool, mut show: impl FnMut(&Live)) -> io::Result<Outcome> {
        let longest = self.e.class.iter().map(|c| c.deadline_s).fold(0.0, f64::max);
        let last = nanos(self.e.length_s + longest + TAIL_S);
        match self.source.next_at(0) {
            Some(first) => self.queue.put(first, LoadEvent::Arrive),
            None => self.arriving = false,
        }
        let mut events = Events::with_capacity(1024);
        let mut shown = Instant::now();
        while (self.arriving || !self.calls.is_empty()) && self.now() < last && !stop.load(Ordering::SeqCst) {
            let now = self.now();
            let due = self.queue.next_time().map(|at| Duration::from_nanos(at.saturating_sub(now)));
            wait(&mut self.poll, &mut events, due)?;
            let tokens: Vec<usize> = events.iter().map(|e| e.token().0).collect();
            tokens.into_iter().for_each(|key| self.connection_ready(key));
            let now = self.now();
            while let Some(at) = self.queue.next_time().filter(|at| *at <= now) {
                match self.queue.take() {
                    Some(LoadEvent::Arrive) => self.call_arrived(at),
                    Some(LoadEvent::Try(call, number)) => self.try_call(call, number),
                    Some(LoadEvent::PatienceExpired(call, number)) => {
                        self.try_ended(call, number, TryResult::Nothing, Cause::GivenUp);
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

    /// Returns the progress so far.
    pub fn live(&self) -> Live {
        self.live
    }

    fn call_arrived(&mut self, at: Nanos) {
        // The call's latency counts from its due time, not from when the generator got to it.
        self.live.late_s = self.live.late_s.max(seconds(self.now().saturating_sub(at)));
        self.live.calls += 1;
        let call = self.calls.insert(self.source.call(at));
        self.try_call(call, 0);
        match self.source.next_at(at) {
            Some(next) => self.queue.put(next, LoadEvent::Arrive),
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
        self.queue.put(now + patience, LoadEvent::PatienceExpired(key, number));
        while let Some(line) = self.idle.pop() {
            let usable = self.lines.get(line).is_some_and(|l| seconds(now - l.idle_since) < MAX_IDLE_S);
            if !usable {
                self.close(line);
                continue;
            }
            let l = &mut self.lines[line];
            l.call = Some((key, number));
            if !l.conn.put(text.as_bytes()) {
                self.close(line);
                self.connection_lost(key, number);
            }
            return;
        }
        let Ok(mut sock) = TcpStream::connect(self.sidecar) else {
            return self.try_ended(key, number, TryResult::Unreachable, Cause::NoSidecar);
        };
        let entry = self.lines.vacant_entry();
        let interest = Interest::READABLE | Interest::WRITABLE;
        if self.poll.registry().register(&mut sock, Token(entry.key()), interest).is_err() {
            return self.try_ended(key, number, TryResult::Unreachable, Cause::NoSidecar);
        }
        let line =
            entry.insert(SidecarConn { conn: Conn::new(sock), call: Some((key, number)), idle_since: now });
        line.conn.put(text.as_bytes());
    }

    fn close(&mut self, line: usize) -> Option<(usize, u32)> {
        let mut line = self.lines.try_remove(line)?;
        let _ = self.poll.registry().deregister(&mut line.conn.sock);
        line.call
    }

    fn connection_lost(&mut self, call: usize, number: u32) {
        self.try_ended(call, number, TryResult::Failed, Cause::SidecarLost);
    }

    fn connection_ready(&mut self, key: usize) {
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
                    self.connection_lost(call, number);
                }
            }
        }
    }

    fn answered(&mut self, call: usize, number: u32, message: &Message) {
        match message.status {
            200 => self.try_ended(call, number, TryResult::Served, Cause::Late),
            429 | 503 => {
                self.live.refused += 1;
                self.try_ended(
                    call,
                    number,
                    TryResult::Refused(message.retry_after),
                    Cause::RefusedAfterAttempts,
                );
            }
            504 => self.try_ended(call, number, TryResult::Failed, Cause::NodeSilent),
            _ => self.try_ended(call, number, TryResult::Failed, Cause::NodeError),
        }
    }

    fn try_ended(&mut self, key: usize, number: u32, result: TryResult, cause: Cause) {
        let now = self.now();
        let Some(call) = self.calls.get(key).copied().filter(|c| c.current_try == number) else { return };
        if result == TryResult::Nothing {
            // A caller that gives up closes the connection of its try.
            let own = self.lines.iter().find(|(_, l)| l.call == Some((key, number))).map(|(at, _)| at);
            if let Some(line) = own {
                self.close(line);
            }
        }
        if result == TryResult::Served {
            self.live.served += 1;
            self.meter.call_ended(now, &call, None);
            self.calls.remove(key);
            return;
        }
        self.live.failed += u64::from(!matches!(result, TryResult::Refused(_)));
        let safe = self.e.class[call.class as usize].safe;
        match retry_wait(&call, &self.e.callers, safe, result).filter(|w| now + w < call.give_up_at) {
            Some(wait) => {
                self.calls[key].current_try = 0;
                self.queue.put(now + wait, LoadEvent::Try(key, 0));
            }
            None => {
                self.meter.call_ended(now, &call, Some(cause));
                self.calls.remove(key);
            }
        }
    }
}
