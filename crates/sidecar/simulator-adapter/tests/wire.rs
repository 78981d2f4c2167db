//! The adapter as a process: replies, plain messages on bad input, exit codes.

use std::io::Write;
use std::process::{Command, Output, Stdio};

fn run(input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_passrelay-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may stop reading at a bad line; that is not this test's failure.
    let _ = child.stdin.take().unwrap().write_all(input.as_bytes());
    child.wait_with_output().unwrap()
}

const START: &str = "mark\t1.0\t1\npower_on\t3\t77\tClasses.count=1\tClasses.0.Name=book\tClasses.0.Aim=1\t\
Classes.0.Idempotency=non_idempotent\tDcs=a,b\tAz=a\tUnheard.Of=1\n\
list\t0\t1\nitem\t51\ta\tstd\t0\ton\t1\t-\ndirectory_update\t3\tcached\t4\t0\neob\n";

#[test]
fn a_request_is_sent_and_its_failure_answered() {
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
fn bad_lines_end_with_a_plain_message() {
    let cases = [
        ("hello\n", "line 1: expected mark"),
        ("mark\tsoon\t1\n", "should be a clock time"),
        ("mark\t1\t1\nwhat\t3\n", "line 2: expected a message of the wire"),
        ("mark\t1\t1\ngone\t3\t5\n", "powered on"),
        ("mark\t1\t1\nstop\t3\n", "an instance that runs"),
        ("mark\t1\t1\nlist\t0\t2\nitem\t1\ta\tk\t0\ton\neob\n", "1 more item lines"),
        ("mark\t1\t1\npower_on\t1\t2\tBalancers=0\tClasses.count=1\tClasses.0.Name=a\n", "setting balancers"),
    ];
    for (input, wanted) in cases {
        let out = run(input);
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(
            !out.status.success() && text.contains(wanted) && text.lines().count() == 1,
            "{input:?}: {text}"
        );
    }
    for bad in ["submit\t3\t9\tnone\t0\t-\t2.0", "gone\t3", "reply\t3\t9\t0\t51\tlost\t0.1\t0", "ring\t3\tx"]
    {
        let out = run(&format!("{START}mark\t2\t2\n{bad}\neob\n"));
        let text = String::from_utf8(out.stderr).unwrap();
        assert!(!out.status.success() && text.contains("line 8: expected"), "{bad:?}: {text}");
    }
}
