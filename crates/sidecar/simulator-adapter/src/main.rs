//! Speaks the simulator's wire on standard input and output and hosts the instances of the module.

mod wire;

use passrelay_load_balancing::{Action, Balancer, Event};
use passrelay_sidecar_settings::{Item, Names, ServiceSettings};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::process::ExitCode;
use wire::{Expected, Fields};

struct Instance {
    /// `None` once it has failed.
    balancer: Option<Balancer>,
    names: Names,
}

/// All instances of the process and the batch being read.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<Item>>,
    /// The list being read, and how many of its lines are still to come.
    open_list: Option<(u64, usize)>,
    /// Clock and number of the open batch.
    batch: Option<(f64, u64)>,
    out: String,
    actions: Vec<Action>,
}

impl Host {
    /// Takes one line; true when a reply is complete.
    fn line(&mut self, line: &str) -> Result<bool, Expected> {
        let f = Fields::new(line);
        if let Some((list, left)) = self.open_list {
            if f.name() != "item" {
                return Err(format!("{left} more item lines, got '{}'", f.name()));
            }
            self.lists.entry(list).or_default().push(wire::item(&f)?);
            self.open_list = (left > 1).then_some((list, left - 1));
            return Ok(false);
        }
        let Some((now, number)) = self.batch else {
            if f.name() != "mark" {
                return Err(format!("mark, got '{}'", f.name()));
            }
            f.count(2, 2)?;
            self.batch = Some((f.need_time(0, "a clock time")?, f.need(1, "a batch number")?));
            return Ok(false);
        };
        match f.name() {
            "mark" => return Err("eob before the next mark".to_owned()),
            "eob" => {
                f.count(0, 0)?;
                self.out.push_str(&format!("eor\t{number}\n"));
                self.batch = None;
                return Ok(true);
            }
            "list" => {
                f.count(2, 2)?;
                let (list, lines) = (f.need(0, "a list number")?, f.need(1, "a number of entries")?);
                self.lists.insert(list, Vec::new());
                self.open_list = (lines > 0).then_some((list, lines));
            }
            "power_on" => {
                if f.rest(0).len() < 2 {
                    return Err("power_on with an instance and a seed".to_owned());
                }
                let (who, seed) = (f.need(0, "an instance")?, f.need(1, "a seed")?);
                let service = ServiceSettings::from_pairs(f.rest(2)).map_err(|e| format!("power_on: {e}"))?;
                let balancer = Balancer::new(service.settings, seed, now).map_err(|e| e.to_string())?;
                self.instances.insert(who, Instance { balancer: Some(balancer), names: service.names });
            }
            "stop" => {
                f.count(1, 1)?;
                let who: u64 = f.need(0, "an instance")?;
                self.instances.remove(&who).ok_or_else(|| format!("an instance that runs, got {who}"))?;
            }
            _ => self.event(now, &f)?,
        }
        Ok(false)
    }

    fn event(&mut self, now: f64, f: &Fields) -> Result<(), Expected> {
        let known = ["directory_update", "submit", "first", "reply", "gone", "ring", "probed", "from_peer"];
        if !known.contains(&f.name()) {
            return Err(format!("a message of the wire, got '{}'", f.name()));
        }
        let who: u64 = f.need(0, "an instance")?;
        let Some(instance) = self.instances.get_mut(&who) else {
            return Err(format!("an instance that was powered on, got {who}"));
        };
        let event = if f.name() == "directory_update" {
            f.count(3, 4)?;
            let form = f.need_text(1, "a form")?;
            if form == "failed" {
                Some(Event::ListFailed)
            } else {
                let list: u64 = f.need(3, "a list number")?;
                let items = self.lists.get(&list).ok_or_else(|| format!("a list sent before, got {list}"))?;
                let entries = instance.names.entries(items);
                Some(match form {
                    "delta" => Event::ListChanges(entries),
                    "full" | "cached" => Event::FullList(entries),
                    other => return Err(format!("delta, full, cached or failed, got '{other}'")),
                })
            }
        } else {
            wire::event(f, &instance.names)?
        };
        let (Some(event), Some(balancer)) = (event, instance.balancer.as_mut()) else { return Ok(()) };
        self.actions.clear();
        let actions = &mut self.actions;
        match catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions))) {
            Ok(()) => self.actions.iter().for_each(|a| wire::print(&mut self.out, who, a)),
            Err(panic) => {
                let text = panic.downcast_ref::<String>().map(String::as_str);
                let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic");
                self.out.push_str(&format!("broken\t{who}\t{}\n", text.replace(['\n', '\t'], " ")));
                instance.balancer = None;
            }
        }
        Ok(())
    }
}

fn main() -> ExitCode {
    let mut input = io::stdin().lock();
    let mut output = io::stdout().lock();
    let mut host = Host::default();
    let mut line = String::new();
    for number in 1u64.. {
        line.clear();
        match input.read_line(&mut line) {
            Ok(0) => break,
            Ok(_) => {}
            Err(e) => {
                eprintln!("passrelay-simulator-adapter: line {number}: expected UTF-8 text: {e}");
                return ExitCode::FAILURE;
            }
        }
        match host.line(line.trim_end_matches(['\n', '\r'])) {
            Ok(false) => {}
            Ok(true) => {
                if output.write_all(host.out.as_bytes()).and_then(|()| output.flush()).is_err() {
                    eprintln!("passrelay-simulator-adapter: standard output is closed");
                    return ExitCode::FAILURE;
                }
                host.out.clear();
            }
            Err(expected) => {
                eprintln!("passrelay-simulator-adapter: line {number}: expected {expected}");
                return ExitCode::FAILURE;
            }
        }
    }
    ExitCode::SUCCESS
}
