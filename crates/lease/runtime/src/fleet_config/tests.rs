use super::*;

fn voters(lines: &[(u64, &str)]) -> String {
    let voter = |(id, at): &(u64, &str)| format!("[[voter]]\nid = {id}\naddress = \"{at}\"\n");
    format!("fleet = \"f\"\n{}", lines.iter().map(voter).collect::<String>())
}

// A fleet must not start with a number of voters that can't form clear majorities, or with ambiguous voters.
#[test]
fn a_file_with_2_or_4_voters_or_one_twice_is_refused_with_its_line() {
    let (a, b, c) = ((1, "127.0.0.1:1"), (2, "127.0.0.1:2"), (3, "127.0.0.1:3"));
    assert_eq!(FleetConfig::parse(&voters(&[a, b, c]), None).unwrap().voters.len(), 3);
    let refused = |text: &str| {
        let (line, problem) = FleetConfig::parse(text, None).unwrap_err();
        (line.unwrap_or(0), problem)
    };
    assert!(refused(&voters(&[a, b])).1.contains("there are 2"));
    assert!(refused(&voters(&[a, b, c, (4, "127.0.0.1:4")])).1.contains("there are 4"));
    assert_eq!(refused(&voters(&[a, b, (2, "127.0.0.1:3")])), (9, "voter.id: 2 is listed twice".into()));
    assert_eq!(refused(&voters(&[a, b, (3, "127.0.0.1:2")])).0, 10);
    assert_eq!(refused(&voters(&[a, (0, "127.0.0.1:2"), c])).0, 6);
    assert_eq!(refused(&voters(&[a, b, (3, "here")])).0, 10);
    assert_eq!(refused("fleet = \"f\"\nvoters = 3\n").0, 2);
}
