//! The operator raises `max-header-bytes`. Clients that keep their connections send heads that only the earlier limit
//! refuses, well after `config-apply-ms`.

use review_stand_ins_2::endpoint::Endpoint;
use review_stand_ins_2::fleet::{Fleet, CONFIG_APPLY};
use review_stand_ins_2::http::Connection;
use review_stand_ins_2::record::{self, note};
use review_stand_ins_2::{run_case, without_trouble};
use std::time::Duration;

/// Kept connections per sidecar.
const CONNECTIONS: usize = 8;
const EARLIER_LIMIT: usize = 16_384;
const LATER_LIMIT: usize = 65_536;
/// Parts of the prompt that the long head names.
const PARTS: usize = 1_600;
const TIMEOUT: Duration = Duration::from_secs(5);

fn main() {
    run_case(case)
}

fn configuration(generation: u64, max_header_bytes: usize) -> String {
    format!(
        "{{\"generation\":{generation},\"routes\":[{{\"name\":\"r-ask\",\"hostname\":\"lot.example\",\"path-prefix\":\"/ask/\",\
         \"route-type\":\"unsafe\",\"timeout-ms\":3000,\"target-latency-ms\":500,\"priority\":0,\"backend\":\"assistant\",\
         \"max-attempts\":1,\"public\":false}}],\"services\":[{{\"name\":\"assistant\",\"health-path\":\"/health\",\
         \"max-connections\":390,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max-header-bytes\":{max_header_bytes},\
         \"max-body-bytes\":4194304,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}},\"tenants\":[{{\"name\":\"family\",\
         \"api-keys\":[\"key-1\"],\"priority\":1,\"unit\":\"token_usage\",\"uncached-tokens\":200,\"rate-per-s\":1000000,\
         \"burst\":1000000}}]}}"
    )
}

struct Counts {
    asked: usize,
    served: usize,
    /// Ended with a 4xx of the sidecar's own, other than 408, 421 and 429.
    denied: usize,
}

impl Counts {
    fn ask(&mut self, connection: &mut Connection, id: &str, parts: usize) {
        let prefixes: Vec<String> = (0..parts).map(|part| format!("{:08x}:4", 0x5c1e_0000 + part)).collect();
        let usage = format!("{},20", 4 * parts);
        let prefixes = prefixes.join(",");
        let headers = [
            ("Host", "lot.example"),
            ("X-Passrelay-Request-Id", id),
            ("X-Passrelay-Deadline-Ms", "3000"),
            ("X-Passrelay-Model", "m"),
            ("X-Passrelay-Token-Usage", usage.as_str()),
            ("X-Passrelay-Prefix-Hash", prefixes.as_str()),
            ("Authorization", "Bearer key-1"),
        ];
        let length: usize =
            24 + headers.iter().map(|(name, value)| name.len() + value.len() + 4).sum::<usize>();
        self.asked += 1;
        let answer = connection
            .send("POST", "/ask/bay", &headers, b"which bay is free?")
            .and_then(|()| connection.receive());
        match answer {
            Ok(answer) => {
                let sealed = answer.header("x-passrelay-response-seal").is_some();
                note(&format!(
                    "request {id}, a head of about {length} bytes: {}, seal {sealed}",
                    answer.status
                ));
                self.served += usize::from(answer.status == 200 && sealed);
                let is_own = (300..500).contains(&answer.status) && !sealed;
                self.denied += usize::from(is_own && ![408, 421, 429].contains(&answer.status));
            }
            Err(problem) => {
                note(&format!("request {id}, a head of about {length} bytes: no answer, {problem}"))
            }
        }
    }
}

fn case() -> Result<bool, String> {
    record::open()?;
    let fleet = Fleet::start(3, 1)?;
    let controls = fleet.controls();
    let endpoint =
        Endpoint::start("i-1", "assistant", fleet.endpoint_address(1), "sala-0", controls.clone())?;
    let _second = Endpoint::start("i-2", "assistant", fleet.endpoint_address(2), "sala-1", controls)?;
    let first_limit = if without_trouble() { LATER_LIMIT } else { EARLIER_LIMIT };
    if fleet.order("PUT", 0, &configuration(5, first_limit), Duration::from_secs(20))?.status != 200 {
        return Err("the first configuration is not acknowledged".to_owned());
    }
    fleet.wait_until_in_touch(Duration::from_secs(30))?;

    let mut counts = Counts { asked: 0, served: 0, denied: 0 };
    let mut kept = Vec::new();
    for machine in 0..fleet.len() {
        for number in 0..CONNECTIONS {
            let mut connection = Connection::open(fleet.front(machine), TIMEOUT)?;
            counts.ask(&mut connection, &format!("0a{machine:06x}{number:08x}"), 3);
            kept.push((machine, number, connection));
        }
    }
    if counts.served != counts.asked {
        return Err("the short requests before the change are not all served".to_owned());
    }

    if without_trouble() {
        note("without the disruption: the limit stays as it is");
    } else if fleet.order("PUT", 5, &configuration(7, LATER_LIMIT), Duration::from_secs(10))?.status != 200 {
        return Err("the change is not acknowledged".to_owned());
    }
    std::thread::sleep(CONFIG_APPLY + Duration::from_secs(1));

    let mut later = Counts { asked: 0, served: 0, denied: 0 };
    for (machine, number, connection) in &mut kept {
        later.ask(connection, &format!("0b{machine:06x}{number:08x}"), PARTS);
    }
    let mut fresh = Counts { asked: 0, served: 0, denied: 0 };
    for machine in 0..fleet.len() {
        let mut connection = Connection::open(fleet.front(machine), TIMEOUT)?;
        fresh.ask(&mut connection, &format!("0c{machine:06x}00000000"), PARTS);
    }
    let asked = counts.asked + later.asked + fresh.asked;
    let denied = counts.denied + later.denied + fresh.denied;
    let allowed = 5.0 + asked as f64 / 500.0;
    note(&format!(
        "on kept connections: {} long heads, {} served, {} denied",
        later.asked, later.served, later.denied
    ));
    note(&format!(
        "on new connections: {} long heads, {} served, {} denied",
        fresh.asked, fresh.served, fresh.denied
    ));
    note(&format!("endpoint i-1 ran {} requests", endpoint.runs().len()));
    note(&format!("DENIED: {denied} of {asked} requests, {allowed:.2} are allowed"));
    Ok(denied as f64 > allowed)
}
