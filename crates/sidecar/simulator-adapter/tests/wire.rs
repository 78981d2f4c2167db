//! Runs the adapter as a process and checks its replies, its error messages on invalid input and its exit
//! codes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_passrelay-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may stop reading at an invalid line, which must not fail this write.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

const START: &str = "mark\t1.0\t1\npower_on\t3\t77\tClasses.count=1\tClasses.0.Name=book\tClasses.0.Aim=1\t\
Classes.0.Idempotency=non_idempotent\tDcs=a,b\tAz=a\tUnheard.Of=1\n\
list\t0\t1\nitem\t51\ta\tstd\t0\ton\t1\t-\ndirectory_update\t3\tcached\t4\t0\neob\n";

#[test]
fn a_request_is_sent_and_its_failure_reported() {
    let input = format!(
        "{START}mark\t1.5\t2\nsubmit\t3\t9\tbook\t0\t-\t2.0\neob\n\
         mark\t1.6\t3\nreply\t3\t9\t0\t51\tapp_error\t0.1\t0\teps:0.5,cpu:0.2\neob\n"
    );
    let out = run(&input);
    let text = String::from_utf8(out.stdout).unwrap();
    assert_eq!(text, "eor\t1\nattempt\t3\t9\t0\t51\neor\t2\nerror\t3\t9\neor\t3\n");
    assert!(out.status.success());
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let out = run("mark\t8.4\t1\neob\n");
    assert_eq!(out.stdout, b"eor\t1\n");
    assert!(out.status.success() && out.stderr.is_empty());
}

#[test]
fn an_invalid_line_ends_the_process_with_a_one_line_message() {
    let cases = [
        ("hello\n", "line 1: got 'hello' instead of the mark"),
        ("mark\tsoon\t1\n", "line 1: mark: field 1 should be a clock time"),
        ("mark\t1\t1\nwhat\t3\n", "line 2: unknown message 'what'"),
        ("mark\t1\t1\ngone\t3\t5\n", "line 2: gone: instance 3 was not powered on"),
        ("mark\t1\t1\nstop\t3\n", "line 2: stop: instance 3 is not running"),
        (
            "mark\t1\t1\nlist\t0\t2\nitem\t1\ta\tk\t0\ton\neob\n",
            "line 4: got 'eob' instead of an item; list 0 lacks 1 more",
        ),
        (
            "mark\t1\t1\npower_on\t1\t2\tBalancers=0\tClasses.count=1\tClasses.0.Name=a\n",
            "line 2: power_on: setting balancers",
        ),
    ];
    for (input, wanted) in cases {
        let out = run(input);
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(
            !out.status.success() && text.contains(wanted) && text.lines().count() == 1,
            "{input:?}: {text}"
        );
    }
    let cases = [
        ("submit\t3\t9\tnone\t0\t-\t2.0", "submit: unknown class 'none'"),
        ("gone\t3", "gone: should have 2 fields, has 1"),
        ("reply\t3\t9\t0\t51\tlost\t0.1\t0", "reply: unknown outcome 'lost'"),
        ("ring\t3\tx", "ring: field 2 should be a token, is 'x'"),
    ];
    for (line, wanted) in cases {
        let out = run(&format!("{START}mark\t2\t2\n{line}\neob\n"));
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && text.contains(&format!("line 8: {wanted}")), "{line:?}: {text}");
    }
}
