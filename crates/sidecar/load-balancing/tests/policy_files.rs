//! The files of the decision module: `deploy/balancer.toml` lists them all, and they are laid out for reading.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..")
}

/// The paths in the `policy` list of `deploy/balancer.toml`, relative to the root.
fn listed() -> BTreeSet<String> {
    let text = fs::read_to_string(root().join("deploy/balancer.toml")).unwrap();
    let (_, list) = text.split_once("policy = [").expect("a policy list");
    let (list, _) = list.split_once(']').expect("the end of the policy list");
    list.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn deployment_lists_every_file_of_the_policy_and_no_other() {
    let source = "crates/sidecar/load-balancing/src/policy";
    let files = fs::read_dir(root().join(source)).unwrap();
    let mut files: BTreeSet<String> =
        files.map(|file| format!("{source}/{}", file.unwrap().file_name().to_str().unwrap())).collect();
    files.insert(format!("{source}.rs"));
    assert_eq!(listed(), files);
}

#[test]
fn policy_lines_have_at_most_110_characters() {
    for path in listed() {
        let text = fs::read_to_string(root().join(&path)).expect("a listed file exists");
        for (n, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{path}: line {} is too long", n + 1);
        }
    }
}

#[test]
fn policy_names_its_interface_at_the_top() {
    let text = fs::read_to_string(root().join("crates/sidecar/load-balancing/src/policy.rs")).unwrap();
    assert!(text.lines().next().unwrap().contains("src/api.rs"));
}
