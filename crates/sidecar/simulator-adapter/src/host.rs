//! The balancer instances of this process and the batch of lines that is being read.
//!
//! A batch starts with `mark` (clock and number) and ends with `eob`. Its messages are handled line by line,
//! and the resulting actions are collected until `eob`, when the reply is complete.

use crate::wire::{self, Fields, LineError};
use passrelay_load_balancing::{Action, Balancer, Event};
use passrelay_sidecar_settings::{Names, ServiceSettings, UnresolvedEntry};
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Messages that concern one instance.
const INSTANCE_MESSAGES: [&str; 8] =
    ["directory_update", "submit", "first", "reply", "gone", "ring", "probed", "from_peer"];

/// Whether a line completes a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The batch continues.
    Incomplete,
    /// The reply is complete; [`Host::take_reply`] returns it.
    Complete,
}

/// A balancer instance with the names of its classes, tenants and zones.
struct Instance {
    /// `None` after a panic; further messages to the instance are ignored.
    balancer: Option<Balancer>,
    names: Names,
}

/// An endpoint list whose entries are being read.
#[derive(Clone, Copy)]
struct OpenList {
    number: u64,
    /// Items still to come; at least 1.
    remaining: usize,
}

/// Clock and number of the batch that is being read.
#[derive(Clone, Copy)]
struct Batch {
    now: f64,
    number: u64,
}

/// All instances of the process and the batch that is being read.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<u64, Instance>,
    lists: BTreeMap<u64, Vec<UnresolvedEntry>>,
    open_list: Option<OpenList>,
    batch: Option<Batch>,
    reply: String,
    /// Actions of the current event; the allocation is reused.
    actions: Vec<Action>,
}

impl Host {
    /// Handles one line without its end.
    ///
    /// # Errors
    ///
    /// Returns why the line is invalid; the host cannot continue after that.
    pub fn handle_line(&mut self, line: &str) -> Result<Reply, LineError> {
        let fields = Fields::parse(line);
        if let Some(list) = self.open_list {
            self.add_item(list, &fields)?;
            return Ok(Reply::Incomplete);
        }
        let Some(batch) = self.batch else {
            self.start_batch(&fields)?;
            return Ok(Reply::Incomplete);
        };
        match fields.name() {
            "mark" => return Err("mark: the batch before it has no eob".to_owned().into()),
            "eob" => {
                fields.check_count(0, 0)?;
                self.reply.push_str(&format!("eor\t{}\n", batch.number));
                self.batch = None;
                return Ok(Reply::Complete);
            }
            "list" => self.start_list(&fields)?,
            "power_on" => self.start_instance(batch.now, &fields)?,
            "stop" => self.stop_instance(&fields)?,
            _ => self.handle_event(batch.now, &fields)?,
        }
        Ok(Reply::Incomplete)
    }

    /// Returns the reply to the batch and clears it.
    pub fn take_reply(&mut self) -> String {
        std::mem::take(&mut self.reply)
    }

    fn start_batch(&mut self, fields: &Fields<'_>) -> Result<(), LineError> {
        if fields.name() != "mark" {
            return Err(format!("got '{}' instead of the mark that starts a batch", fields.name()).into());
        }
        fields.check_count(2, 2)?;
        let now = fields.required_seconds(0, "a clock time")?;
        let number = fields.required_number(1, "a batch number")?;
        self.batch = Some(Batch { now, number });
        Ok(())
    }

    fn start_list(&mut self, fields: &Fields<'_>) -> Result<(), LineError> {
        fields.check_count(2, 2)?;
        let number = fields.required_number(0, "a list number")?;
        let remaining = fields.required_number(1, "a number of entries")?;
        self.lists.insert(number, Vec::new());
        self.open_list = (remaining > 0).then_some(OpenList { number, remaining });
        Ok(())
    }

    fn add_item(&mut self, list: OpenList, fields: &Fields<'_>) -> Result<(), LineError> {
        let OpenList { number, remaining } = list;
        if fields.name() != "item" {
            return Err(format!(
                "got '{}' instead of an item; list {number} lacks {remaining} more",
                fields.name()
            )
            .into());
        }
        self.lists.entry(number).or_default().push(wire::parse_item(fields)?);
        self.open_list = (remaining > 1).then(|| OpenList { number, remaining: remaining - 1 });
        Ok(())
    }

    fn start_instance(&mut self, now: f64, fields: &Fields<'_>) -> Result<(), LineError> {
        if fields.rest(0).len() < 2 {
            return Err("power_on: needs an instance and a seed".to_owned().into());
        }
        let id = fields.required_number(0, "an instance")?;
        let seed = fields.required_number(1, "a seed")?;
        let service =
            ServiceSettings::from_pairs(fields.rest(2)).map_err(|error| format!("power_on: {error}"))?;
        let balancer =
            Balancer::new(service.settings, seed, now).map_err(|error| format!("power_on: {error}"))?;
        self.instances.insert(id, Instance { balancer: Some(balancer), names: service.names });
        Ok(())
    }

    fn stop_instance(&mut self, fields: &Fields<'_>) -> Result<(), LineError> {
        fields.check_count(1, 1)?;
        let id: u64 = fields.required_number(0, "an instance")?;
        self.instances.remove(&id).ok_or_else(|| format!("stop: instance {id} is not running"))?;
        Ok(())
    }

    /// Passes a message to its instance and prints the resulting actions. A panic ends the instance, not the
    /// process.
    fn handle_event(&mut self, now: f64, fields: &Fields<'_>) -> Result<(), LineError> {
        if !INSTANCE_MESSAGES.contains(&fields.name()) {
            return Err(format!("unknown message '{}'", fields.name()).into());
        }
        let id: u64 = fields.required_number(0, "an instance")?;
        let Some(instance) = self.instances.get_mut(&id) else {
            return Err(format!("{}: instance {id} was not powered on", fields.name()).into());
        };
        let event = if fields.name() == "directory_update" {
            Some(parse_directory_update(&self.lists, &mut instance.names, fields)?)
        } else {
            wire::parse_event(fields, &instance.names)?
        };
        let (Some(event), Some(balancer)) = (event, instance.balancer.as_mut()) else { return Ok(()) };
        self.actions.clear();
        let actions = &mut self.actions;
        match catch_unwind(AssertUnwindSafe(|| balancer.handle(now, event, actions))) {
            Ok(()) => {
                self.actions.iter().for_each(|action| wire::print_action(&mut self.reply, id, action));
            }
            Err(panic) => {
                let text = panic_message(panic.as_ref()).replace(['\n', '\t'], " ");
                self.reply.push_str(&format!("broken\t{id}\t{text}\n"));
                instance.balancer = None;
            }
        }
        Ok(())
    }
}

/// Parses a `directory_update` line, which refers to a list sent before.
fn parse_directory_update(
    lists: &BTreeMap<u64, Vec<UnresolvedEntry>>,
    names: &mut Names,
    fields: &Fields<'_>,
) -> Result<Event, LineError> {
    fields.check_count(3, 4)?;
    let form = fields.required_text(1, "a form")?;
    if form == "failed" {
        return Ok(Event::EndpointListFailed);
    }
    let number: u64 = fields.required_number(3, "a list number")?;
    let list =
        lists.get(&number).ok_or_else(|| format!("directory_update: list {number} was not sent before"))?;
    let entries = names.resolve_zones(list);
    match form {
        "delta" => Ok(Event::EndpointChanges(entries)),
        "full" | "cached" => Ok(Event::EndpointList(entries)),
        other => {
            Err(format!("directory_update: form should be delta, full, cached or failed, is '{other}'")
                .into())
        }
    }
}

fn panic_message(panic: &(dyn Any + Send)) -> &str {
    let owned = panic.downcast_ref::<String>().map(String::as_str);
    owned.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("panic")
}
