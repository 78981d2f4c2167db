//! What the deploy file of the fleet says.

use toml::Table;

fn system() -> Table {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/system.toml");
    std::fs::read_to_string(path).expect("the deploy file").parse().expect("it is TOML")
}

/// Debian's policy manual, section 5.6.7: at least two characters, lower case, digits, plus, minus and full stops,
/// beginning with a letter or digit.
fn is_package_name(name: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit();
    name.len() >= 2 && name.starts_with(allowed) && name.chars().all(|c| allowed(c) || "+-.".contains(c))
}

#[test]
fn packages_are_names_of_system_packages_and_hold_the_linker_and_the_c_library() {
    let system = system();
    let packages: Vec<&str> =
        system["packages"].as_array().expect("a list").iter().filter_map(|p| p.as_str()).collect();
    assert_eq!(packages.len(), system["packages"].as_array().map_or(0, Vec::len), "only strings");
    for package in &packages {
        assert!(is_package_name(package), "{package} is no name of a package");
    }
    assert!(packages.contains(&"gcc") && packages.contains(&"libc6-dev"), "{packages:?}");
}

#[test]
fn every_role_runs_the_program_that_the_build_makes() {
    let system = system();
    for (name, role) in system["roles"].as_table().expect("roles") {
        let run = role["run"].as_str().expect("run");
        assert!(run.starts_with("target/release/passrelay "), "{name}: {run}");
    }
}
