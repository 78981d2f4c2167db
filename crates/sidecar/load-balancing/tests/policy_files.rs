//! The source files of the policy: `deploy/balancer.toml` lists all of them, and they follow its layout rules.

use std::collections::BTreeSet;
use std::fs;
use std::path::{Path, PathBuf};

fn repository_root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../../..")
}

/// Returns the paths in the `policy` list of `deploy/balancer.toml`, relative to the root of the repository.
fn listed_files() -> BTreeSet<String> {
    let text = fs::read_to_string(repository_root().join("deploy/balancer.toml")).unwrap();
    let (_, list) = text.split_once("policy = [").expect("deploy/balancer.toml has a policy list");
    let (list, _) = list.split_once(']').expect("the policy list is closed by a bracket");
    list.split('"').skip(1).step_by(2).map(str::to_owned).collect()
}

#[test]
fn deployment_lists_every_file_of_the_policy_and_no_other() {
    let source = "crates/sidecar/load-balancing/src/policy";
    let files = fs::read_dir(repository_root().join(source)).unwrap();
    let mut files: BTreeSet<String> =
        files.map(|file| format!("{source}/{}", file.unwrap().file_name().to_str().unwrap())).collect();
    files.insert(format!("{source}.rs"));
    assert_eq!(listed_files(), files);
}

#[test]
fn policy_lines_have_at_most_110_characters() {
    for path in listed_files() {
        let text = fs::read_to_string(repository_root().join(&path)).expect("a listed file can be read");
        for (n, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{path}: line {} is too long", n + 1);
        }
    }
}

#[test]
fn first_line_of_the_policy_names_its_interface() {
    let text =
        fs::read_to_string(repository_root().join("crates/sidecar/load-balancing/src/policy.rs")).unwrap();
    assert!(text.lines().next().unwrap().contains("src/api.rs"));
}
