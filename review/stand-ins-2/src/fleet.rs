//! The platform and the operator: starts and ends the sidecars, and brings configurations.

use crate::http::{self, Response};
use crate::record::note;
use std::fs::File;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, UdpSocket};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const FRONT: u16 = 8662;
const READINESS: u16 = 8663;
const CONTROL: u16 = 8665;
const INTERNAL: u16 = 7680;
/// Time after which a caller of control moves on to another sidecar.
const CONTROL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// `bounds.contact-ms` of the settings.
pub const CONTACT: Duration = Duration::from_millis(3_000);
/// `bounds.config-apply-ms` of the settings.
pub const CONFIG_APPLY: Duration = Duration::from_millis(2_000);

/// The processes of a small deployment; ended when this is dropped.
pub struct Fleet {
    /// The repository, where the deploy file's commands begin.
    root: PathBuf,
    folder: PathBuf,
    network: (u8, u8),
    processes: Vec<Option<Child>>,
}

impl Fleet {
    /// Writes the settings of `with_disk` machines of the core and `without_disk` others, and starts their processes.
    pub fn start(with_disk: usize, without_disk: usize) -> Result<Self, String> {
        Self::start_with(
            with_disk,
            without_disk,
            "base,drain,config,cost,retry,recover,engine,stream,tenants,quota",
            "",
        )
    }

    /// Like [`Self::start`], with other contracts and further lines of settings.
    pub fn start_with(
        with_disk: usize,
        without_disk: usize,
        contracts: &str,
        further: &str,
    ) -> Result<Self, String> {
        let variable = |name: &str| std::env::var(name).map_err(|_| format!("{name} is not set"));
        let (root, folder) = (PathBuf::from(variable("ROOT")?), PathBuf::from(variable("FOLDER")?));
        let count = with_disk + without_disk;
        let network = free_network(count).ok_or("no free loopback addresses")?;
        let mut fleet = Fleet { root, folder, network, processes: Vec::new() };
        for machine in 0..count {
            fleet.write_settings(machine, machine < with_disk, contracts, further)?;
            fleet.processes.push(None);
        }
        for machine in 0..count {
            fleet.start_process(machine)?;
        }
        Ok(fleet)
    }

    pub fn len(&self) -> usize {
        self.processes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.processes.is_empty()
    }

    fn ip(&self, machine: usize) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, 1 + machine as u8)
    }

    /// Address for an endpoint of the deployment.
    pub fn endpoint_address(&self, number: u8) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::new(127, self.network.0, self.network.1, 100 + number), 9_000)
    }

    pub fn front(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), FRONT)
    }

    pub fn control(&self, machine: usize) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(machine), CONTROL)
    }

    pub fn controls(&self) -> Vec<SocketAddrV4> {
        (0..self.len()).map(|machine| self.control(machine)).collect()
    }

    fn settings_path(&self, machine: usize) -> PathBuf {
        self.folder.join(format!("machine-{machine}.conf"))
    }

    fn write_settings(
        &self,
        machine: usize,
        has_disk: bool,
        contracts: &str,
        further: &str,
    ) -> Result<(), String> {
        let ip = self.ip(machine);
        let seeds: Vec<String> = (0..3).map(|seed| format!("{}:{CONTROL}", self.ip(seed))).collect();
        let mut text = format!(
            "node-name=front-{machine}\nrole=sidecar\nmachine-class=front\nserves=front,control\nip={ip}\nzone=sala-{}\n\
             region=uio\nlisten.front={ip}:{FRONT}\nlisten.readiness={ip}:{READINESS}\nlisten.control={ip}:{CONTROL}\n\
             internal-ports={INTERNAL},7695\nseeds={}\nbootstrap=true\nlimits.cores=1\nlimits.memory-mb=260\n\
             limits.max-fds=4100\ndiscovery=registration\nentry=vip\nheartbeat-ms=1200\n\
             contracts={contracts}\nfault-tolerance.machines=1\n\
             fault-tolerance.zones=0\nfault-tolerance.regions=0\nbounds.seed-lag-s=3\nbounds.reuse-after-s=2\n\
             bounds.contact-ms=3000\nbounds.ack-ms=4000\nbounds.catch-up-s=4\nbounds.drain-ms=2000\nbounds.grace-s=8\n\
             bounds.loss-slack-ms=200\nbounds.config-apply-ms=2000\nbounds.rollback-slack-ms=250\n\
             bounds.max-stretch-ms=5000\nbounds.strict-revocation=true\nbounds.revoke-ms=5000\n\
             bounds.retry-budget-ratio=0.2\nbounds.budget-window-s=10\nbounds.budget-slack=64\nbounds.quota-window-s=8\n\
             bounds.quota-overshoot=0.1\nbounds.quota-slack=140000\nbounds.recovery-s=12\n{further}",
            machine % 3,
            seeds.join(",")
        );
        if has_disk {
            let disk = self.folder.join(format!("disk-{machine}"));
            text.push_str(&format!(
                "counts-for-quorum=true\nlimits.disk-mb=64\ndata-dir={}\n",
                disk.display()
            ));
        } else {
            text.push_str("counts-for-quorum=false\n");
        }
        std::fs::write(self.settings_path(machine), text).map_err(|error| error.to_string())
    }

    /// Starts the process of a machine with the command of the deploy file.
    pub fn start_process(&mut self, machine: usize) -> Result<(), String> {
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("machine-{machine}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let child = Command::new(self.root.join("target/release/passrelay"))
            .arg("node")
            .current_dir(&self.root)
            .env("PASSRELAY_CONFIG", self.settings_path(machine))
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("target/release/passrelay: {error}"))?;
        note(&format!("started machine {machine} at {} as process {}", self.ip(machine), child.id()));
        self.processes[machine] = Some(child);
        self.list_processes();
        Ok(())
    }

    /// Writes the ids of the running processes, so that the script can end them if it is itself ended.
    fn list_processes(&self) {
        let ids: Vec<String> = self.processes.iter().flatten().map(|child| child.id().to_string()).collect();
        let _ = std::fs::write(self.folder.join("processes"), ids.join(" "));
    }

    /// Ends the process of a machine with SIGKILL.
    pub fn kill(&mut self, machine: usize) {
        if let Some(mut child) = self.processes[machine].take() {
            let _ = child.kill();
            let _ = child.wait();
            note(&format!("killed machine {machine}, process {}", child.id()));
            self.list_processes();
        }
    }

    /// Returns the machines whose processes have ended by themselves.
    pub fn ended(&mut self) -> Vec<usize> {
        let mut ended = Vec::new();
        for (machine, process) in self.processes.iter_mut().enumerate() {
            if process.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(Some(_)))) {
                ended.push(machine);
            }
        }
        ended
    }

    /// Waits until every sidecar calls itself ready, and then for `contact-ms`, so that all are in touch.
    pub fn wait_until_in_touch(&self, limit: Duration) -> Result<(), String> {
        let until = Instant::now() + limit;
        for machine in 0..self.len() {
            let readiness = SocketAddrV4::new(self.ip(machine), READINESS);
            loop {
                let answer = http::call(readiness, "GET", "/ready", &[], b"", CONTROL_TIMEOUT);
                if answer.is_ok_and(|answer| answer.status == 200) {
                    break;
                }
                if Instant::now() > until {
                    return Err(format!("machine {machine} does not get ready"));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
        note("all machines are ready");
        std::thread::sleep(CONTACT + Duration::from_millis(500));
        Ok(())
    }

    /// Sends an order of the operator to one sidecar after the other until it gets a clear answer.
    pub fn order(&self, method: &str, base: u64, body: &str, limit: Duration) -> Result<Response, String> {
        let until = Instant::now() + limit;
        note(&format!("operator sends {method} /config, If-Match {base}: {body}"));
        let base = base.to_string();
        let headers = [("If-Match", base.as_str()), ("Content-Type", "application/json")];
        for machine in (0..self.len()).cycle() {
            match http::call(
                self.control(machine),
                method,
                "/config",
                &headers,
                body.as_bytes(),
                CONTROL_TIMEOUT,
            ) {
                Ok(answer) if answer.status < 500 && ![408, 429].contains(&answer.status) => {
                    note(&format!("machine {machine} answers {}: {}", answer.status, answer.text()));
                    return Ok(answer);
                }
                Ok(answer) => note(&format!("machine {machine} answers {}, no clear answer", answer.status)),
                Err(problem) => note(&format!("machine {machine} gives no answer: {problem}")),
            }
            if Instant::now() > until {
                break;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err("the order got no clear answer".to_owned())
    }

    /// Reads the configuration, from one sidecar after the other until one answers 200.
    pub fn read_configuration(&self, limit: Duration) -> Result<String, String> {
        let until = Instant::now() + limit;
        for machine in (0..self.len()).cycle() {
            let answer = http::call(self.control(machine), "GET", "/config", &[], b"", CONTROL_TIMEOUT);
            if let Ok(answer) = answer {
                if answer.status == 200 && answer.complete {
                    note(&format!("machine {machine} answers GET /config with 200: {}", answer.text()));
                    return Ok(answer.text());
                }
            }
            if Instant::now() > until {
                break;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        Err("the configuration cannot be read".to_owned())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for machine in 0..self.processes.len() {
            self.kill(machine);
        }
    }
}

/// Returns the second and third byte of a loopback network on which the ports of all machines are free.
fn free_network(machines: usize) -> Option<(u8, u8)> {
    let nanos = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_nanos() as u64);
    let mut seed = nanos ^ (u64::from(std::process::id()) << 32);
    (0..50).find_map(|_| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let network = (20 + (seed >> 40) as u8 % 200, 1 + (seed >> 50) as u8 % 250);
        let is_free = |machine: usize| {
            let ip = Ipv4Addr::new(127, network.0, network.1, 1 + machine as u8);
            let listens = |port| TcpListener::bind(SocketAddrV4::new(ip, port)).is_ok();
            [FRONT, READINESS, CONTROL, INTERNAL].into_iter().all(listens)
                && UdpSocket::bind(SocketAddrV4::new(ip, INTERNAL)).is_ok()
        };
        (0..machines).all(is_free).then_some(network)
    })
}
