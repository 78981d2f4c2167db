//! Guards against unintended changes of simulation results: digests of all numbers of a run, recorded with version
//! 0.2.0 before the renaming, for each file of `experiments/` with one seed, and for each policy on one of them.
//!
//! The numbers are sorted as texts before they are digested, so that neither their names nor the order of fields
//! matter. They are exact fractions, so the digests hold for one mathematical library only.

use passrelay_load_simulator::experiment::Experiment;
use passrelay_load_simulator::meter::Outcome;
use passrelay_load_simulator::rivals::Policy;
use passrelay_load_simulator::world::{play, RunOptions};
use rayon::prelude::*;
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

const SEED: u64 = 5;
/// The experiment that is run with all policies.
const POLICY_EXPERIMENT: &str = "crash";

/// Keys of an experiment, and what they are set to.
type Set = &'static [(&'static str, &'static str)];

/// Experiment, the overrides that keep its run short, and the digest of its run.
const EXPERIMENTS: &[(&str, Set, u64)] = &[
    ("crash-new-ids", &[], 0xe8fb_1a83_8d3d_c751),
    ("crash", &[], 0xcf2c_87c5_e61c_1681),
    ("cut", &[], 0x2b11_cd28_4667_f170),
    ("discovery-down", &[], 0x214a_8dd7_d512_9b45),
    ("fail-fast", &[], 0xa7e8_ab4b_eea2_5d8b),
    ("fail-one-class", &[], 0xb152_62e0_052e_3d50),
    ("false-reports", &[], 0x13aa_d8e8_c7b2_ada9),
    ("fleet-1000", &[("length_s", "8"), ("load.rate", "2000"), ("warm_up_s", "1")], 0x937e_adc4_188a_ba5d),
    ("gray", &[], 0xfcae_9c03_9c12_c389),
    ("heavy-tail", &[], 0x9110_2786_3482_2389),
    ("jam", &[], 0x8d7b_9cc1_d169_25a0),
    ("mass-restart", &[], 0xa8c3_1955_bdd3_3550),
    ("one-tier-slow", &[], 0xe447_2fdf_2ae3_ad6e),
    ("one-tier", &[], 0x87c9_a298_2385_9334),
    ("outage", &[], 0xf5ec_c3f4_7019_fe2b),
    ("overload", &[], 0xdc92_8fd1_6811_1953),
    ("quito-100x", &[("scale", "5")], 0xbbd3_5377_9c15_8c8c),
    ("quito-10x", &[("scale", "3")], 0x57e7_40c2_5364_af16),
    ("quito-calm", &[], 0x6fa9_6054_c8c9_25e8),
    ("quito-rough", &[], 0x699f_a2ac_8355_49e9),
    ("rolling-release", &[], 0x9004_ec33_951f_58ed),
    ("sidecar-restart", &[], 0x6705_783f_4b4b_6cf4),
    ("slow", &[], 0xdad8_662e_0d3e_d705),
    ("stale-reports", &[], 0x0a5c_e25a_67e1_8e7b),
    ("storm", &[], 0xf688_2b38_7e2b_fcd1),
    ("zone-cut", &[], 0xbf89_fedb_5511_0811),
];

/// The digests of the policies' runs, in the order of `Policy::ALL`.
const POLICIES: [u64; Policy::ALL.len()] = [
    0xcf2c_87c5_e61c_1681,
    0x2584_125a_38e8_b51b,
    0xa9c2_ad2f_71fa_7c34,
    0x8b7b_344c_c040_5ce0,
    0xf5e0_0f35_87e4_5eb8,
    0x9c46_5535_ad8b_91db,
    0xd2d1_d30a_1264_8ee1,
    0x116b_fd66_055a_70dd,
    0xa0be_c54b_f4a5_d2e5,
];

fn folder() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../experiments")
}

/// Appends all numbers in a value as texts.
fn numbers(value: &Value, into: &mut Vec<String>) {
    match value {
        Value::Number(number) => into.push(number.to_string()),
        Value::Array(items) => items.iter().for_each(|item| numbers(item, into)),
        Value::Object(fields) => fields.values().for_each(|field| numbers(field, into)),
        Value::Null | Value::Bool(_) | Value::String(_) => {}
    }
}

/// Returns the outcome as JSON in which utilisations have all digits of their exact fractions. How many digits a JSON value
/// has of a 32-bit fraction depends on the features of the JSON library.
fn with_exact_utilisations(outcome: &Outcome) -> Value {
    let mut value = serde_json::to_value(outcome).expect("the outcome can be serialized");
    for (index, node) in outcome.nodes.iter().enumerate() {
        let exact: Vec<f64> = node.util.iter().copied().map(f64::from).collect();
        value["nodes"][index]["util"] = json!(exact);
    }
    value
}

/// Returns the 64-bit FNV-1a digest of all numbers of a run's outcome.
fn digest_of_run(name: &str, set: Set, policy: Policy) -> u64 {
    let set: Vec<(String, String)> =
        set.iter().map(|(key, value)| ((*key).to_owned(), (*value).to_owned())).collect();
    let experiment =
        Experiment::read(&folder().join(format!("{name}.toml")), &set).expect("the experiment can be read");
    let options = RunOptions { nodes: true, ..RunOptions::default() };
    let outcome = play(&experiment, policy, SEED, options).expect("the run succeeds");
    let mut texts = Vec::new();
    numbers(&with_exact_utilisations(&outcome), &mut texts);
    texts.sort_unstable();
    let bytes = texts.iter().flat_map(|text| text.bytes().chain([0]));
    bytes.fold(0xcbf2_9ce4_8422_2325, |digest: u64, byte| {
        (digest ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}

#[test]
fn experiment_outcomes_are_unchanged() {
    let found: Vec<(&str, u64)> = EXPERIMENTS
        .par_iter()
        .map(|(name, set, _)| (*name, digest_of_run(name, set, Policy::Passrelay)))
        .collect();
    let expected: Vec<(&str, u64)> = EXPERIMENTS.iter().map(|(name, _, digest)| (*name, *digest)).collect();
    assert_eq!(found, expected, "found {found:#x?}");
}

#[test]
fn every_experiment_file_has_a_digest() {
    let entries = std::fs::read_dir(folder()).expect("the folder of experiments exists");
    let files = entries.map(|entry| entry.expect("the folder entry can be read").path());
    let on_disk: BTreeSet<String> = files
        .filter(|path| path.extension().is_some_and(|extension| extension == "toml"))
        .map(|path| path.file_stem().expect("the file has a name").to_string_lossy().into_owned())
        .collect();
    let with_digest: BTreeSet<String> = EXPERIMENTS.iter().map(|(name, ..)| (*name).to_owned()).collect();
    assert_eq!(with_digest, on_disk);
}

#[test]
fn policy_outcomes_are_unchanged() {
    let found: Vec<u64> =
        Policy::ALL.par_iter().map(|policy| digest_of_run(POLICY_EXPERIMENT, &[], *policy)).collect();
    assert_eq!(found, POLICIES, "found {found:#x?}");
}
