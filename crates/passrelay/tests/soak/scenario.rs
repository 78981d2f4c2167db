//! One soak: a fleet, its clients, endpoints, operator and faults, by a seed.

use crate::bounds::{self, GRACE, RECOVERY};
use crate::checks::violations;
use crate::clients::Client;
use crate::endpoints::{Endpoint, Endpoints, Quality};
use crate::faults::{schedule, Platform};
use crate::operator::{first_document, stable_paths, Caller, Operator, SERVICES, STABLE_KEY};
use crate::records::{Records, Time};
use crate::second_versions::start_second_versions;
use passrelay_test_support::fleet::{Fleet, Sidecar};
use passrelay_test_support::wait_until;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// The program of this build; `SOAK_PROGRAM` names another.
const PROGRAM: &str = env!("CARGO_BIN_EXE_passrelay");
/// Machines up to this number have three voters, larger fleets six.
const SMALL_FLEET: u8 = 16;
pub const ENDPOINTS_PER_SERVICE: usize = 4;
/// Of the fleets that the operators run.
const IDLE_ROUTES: usize = 350;
/// Requests a second of all clients together.
const REQUEST_RATE: f64 = 500.0;
/// Faults begin at this time and end at the next; the final fault follows after the last.
const FAULTS_FROM: Time = Duration::from_secs(2);
const FAULTS_TO: Time = Duration::from_secs(22);
const FINAL_FAULT_AT: Time = Duration::from_secs(32);
/// Machines are down for so long at the final fault.
const FINAL_FAULT_DOWN: Duration = Duration::from_millis(800);

/// What a soak has found.
pub struct Report {
    pub violations: Vec<String>,
    summary: String,
}

impl fmt::Display for Report {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        writeln!(formatter, "{}, {} violations", self.summary, self.violations.len())?;
        self.violations.iter().take(40).try_for_each(|violation| writeln!(formatter, "  {violation}"))
    }
}

/// A running fleet with a configuration and endpoints in service.
pub struct SoakFleet {
    pub fleet: Arc<Fleet>,
    pub records: Arc<Records>,
    pub processes: Vec<Sidecar>,
    pub endpoints: Endpoints,
    pub in_service: Vec<Endpoint>,
    pub operator: Operator,
    fronts: Vec<SocketAddr>,
}

impl SoakFleet {
    /// Starts a fleet and waits until every process is ready.
    pub fn start(seed: u64, machines: u8) -> Self {
        let program = std::env::var("SOAK_PROGRAM").map_or(PROGRAM, |path| &*path.leak());
        let mut fleet = Fleet::new(program, machines);
        fleet.voters = if machines <= SMALL_FLEET { machines.min(3) } else { 6 };
        fleet.grace_s = GRACE.as_secs() as u32;
        fleet.more_settings = bounds::settings();
        let processes = fleet.start_all();
        let records = Arc::new(Records::new());
        let controls: Vec<SocketAddr> = processes.iter().map(Sidecar::control_address).collect();
        let endpoints = Endpoints::new(records.clone(), controls.clone(), seed);
        let in_service = SERVICES
            .iter()
            .flat_map(|service| (0..ENDPOINTS_PER_SERVICE).map(move |_| service))
            .map(|service| endpoints.start(service, "v1", Quality::Good))
            .collect();
        let caller = Caller { records: records.clone(), controls };
        let mut operator = Operator::new(caller, seed);
        operator.put_first(&first_document(IDLE_ROUTES));
        wait_until("every process is ready", || processes.iter().all(Sidecar::is_ready));
        let fronts = processes.iter().map(Sidecar::front_address).collect();
        SoakFleet { fleet: Arc::new(fleet), records, processes, endpoints, in_service, operator, fronts }
    }

    /// A client for each process.
    pub fn clients(&self, seed: u64) -> Vec<Client> {
        let pause = Duration::from_secs_f64(self.fronts.len() as f64 / REQUEST_RATE);
        (1..)
            .zip(&self.fronts)
            .map(|(machine, address)| Client {
                machine,
                address: *address,
                records: self.records.clone(),
                stable_paths: stable_paths(),
                stable_key: STABLE_KEY.to_owned(),
                pause,
                seed: seed ^ (u64::from(machine) << 32),
            })
            .collect()
    }
}

/// A soak and its seed.
pub struct Scenario {
    seed: u64,
    machines: u8,
}

impl Scenario {
    pub fn new(seed: u64, machines: u8) -> Self {
        Scenario { seed, machines }
    }

    /// Plays the soak and checks what it recorded.
    pub fn play(&self) -> Report {
        let soak = SoakFleet::start(self.seed, self.machines);
        let clients = soak.clients(self.seed);
        let SoakFleet { fleet, records, processes, endpoints, mut in_service, mut operator, .. } = soak;
        let voters = fleet.voters;
        let began = records.now();
        let steps = schedule(self.seed, self.machines, voters, began + FAULTS_FROM, began + FAULTS_TO);
        let controls: Vec<SocketAddr> = processes.iter().map(Sidecar::control_address).collect();
        let mut platform = Platform::new(fleet.clone(), records.clone(), processes);
        let stop = AtomicBool::new(false);
        thread::scope(|scope| {
            for client in &clients {
                scope.spawn(|| client.run(&stop));
            }
            let operating = scope.spawn(|| {
                operator.run(began + FINAL_FAULT_AT);
                operator.change_once_more();
                operator
            });
            let replacing = scope.spawn(|| {
                replace_endpoints(&endpoints, &mut in_service, &records, self.seed, began + FINAL_FAULT_AT);
            });
            let versions = scope.spawn(|| {
                start_second_versions(&endpoints, &records, &controls, self.seed, began + FINAL_FAULT_AT);
            });
            platform.run(steps, began + FINAL_FAULT_AT);
            while !operating.is_finished() {
                platform.run(Vec::new(), records.now() + Duration::from_millis(1));
            }
            let mut operator = operating.join().expect("the operator");
            let wiped = self.wiped_machines(voters, fleet.tolerated_losses());
            records.operation(format!("final fault, wiped {wiped:?}"));
            platform.kill_all(&wiped, FINAL_FAULT_DOWN);
            let recovered_by = records.now() + FINAL_FAULT_DOWN + RECOVERY;
            let reading = scope.spawn(move || operator.check_recovered(recovered_by));
            while !reading.is_finished() {
                platform.run(Vec::new(), records.now() + Duration::from_millis(1));
            }
            platform.run(Vec::new(), records.now() + Duration::from_secs(2));
            stop.store(true, Ordering::SeqCst);
            replacing.join().expect("the endpoints");
            versions.join().expect("the second versions");
        });
        check_served(&records, recovery_began(&records));
        in_service.iter().for_each(Endpoint::end);
        let report = self.report(&records, voters);
        if !report.violations.is_empty() {
            self.keep_logs(&platform, &records, &report);
        }
        report
    }

    /// Which machines lose their disks at the final fault: none for every second seed.
    fn wiped_machines(&self, voters: u8, tolerated: u8) -> Vec<u8> {
        if self.seed % 2 == 1 {
            return Vec::new();
        }
        let mut wiped: Vec<u8> = (1..=voters).collect();
        wiped.shuffle(&mut ChaCha8Rng::seed_from_u64(self.seed));
        wiped.truncate(usize::from(tolerated));
        wiped
    }

    fn report(&self, records: &Records, voters: u8) -> Report {
        let violations = violations(records, voters);
        let exchanges = records.exchanges.lock().unwrap();
        let served = exchanges.iter().filter(|exchange| exchange.is_success()).count();
        let summary = format!(
            "{} machines, {} requests, {served} served, {} changes acknowledged or refused, {} faults",
            self.machines,
            exchanges.len(),
            records.operations.lock().unwrap().len(),
            records.disturbances.lock().unwrap().len(),
        );
        Report { violations, summary }
    }

    /// Keeps what a soak that broke a rule has seen, under `found/` of the current folder.
    fn keep_logs(&self, platform: &Platform, records: &Records, report: &Report) {
        let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../found");
        let _ = std::fs::create_dir_all(&folder);
        let mut text = format!("{report}\n");
        for violation in &report.violations {
            text += &format!("{violation}\n");
        }
        for line in records.operations.lock().unwrap().iter() {
            text += &format!("operator {line}\n");
        }
        for disturbance in records.disturbances.lock().unwrap().iter() {
            text += &format!("fault {disturbance:?}\n");
        }
        for (machine, log) in platform.logs() {
            for line in log {
                text += &format!("machine {machine} {line}\n");
            }
        }
        let path = folder.join(format!("soak-{}-{}.log", self.seed, self.machines));
        let _ = std::fs::write(path, text);
    }
}

/// Replaces endpoints by others of the same version, one after the other.
fn replace_endpoints(
    endpoints: &Endpoints,
    in_service: &mut [Endpoint],
    records: &Records,
    seed: u64,
    until: Time,
) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ 0xe4d);
    while records.now() < until {
        thread::sleep(Duration::from_millis(rng.random_range(500..2_500)));
        let index = rng.random_range(0..in_service.len());
        let service = SERVICES[index / ENDPOINTS_PER_SERVICE];
        let successor = endpoints.start(service, "v1", Quality::Good);
        thread::sleep(Duration::from_secs(1));
        let former = std::mem::replace(&mut in_service[index], successor);
        former.drain();
        thread::sleep(Duration::from_secs(3));
        former.end();
        records.operation(format!("replaced {}", former.describe()));
    }
}

/// When the machines were back after the final fault.
fn recovery_began(records: &Records) -> Time {
    let disturbances = records.disturbances.lock().unwrap();
    disturbances.iter().filter_map(|disturbance| disturbance.to).max().unwrap_or_default()
}

/// The last requests are served again.
fn check_served(records: &Records, since: Time) {
    let exchanges = records.exchanges.lock().unwrap();
    let last: Vec<_> = exchanges
        .iter()
        .filter(|exchange| exchange.sent_at > since && exchange.path.starts_with("/stable-"))
        .rev()
        .take(100)
        .collect();
    let served = last.iter().filter(|exchange| exchange.is_success()).count();
    let (served, count) = (served, last.len());
    drop(exchanges);
    if count < 20 || served * 4 < count {
        records.violation(format!("RECOVER: {served} of the last {count} requests are served"));
    }
}
