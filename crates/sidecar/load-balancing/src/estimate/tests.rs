use super::*;

#[test]
fn a_line_is_drawn_once_enough_was_seen_and_follows_what_changes() {
    let mut line = Line::default();
    for n in 0..11 {
        line.add(f64::from(n % 5 + 1), 0.1);
    }
    assert_eq!(line.at(1.0), None);
    for n in 0..3000 {
        let work = f64::from(n % 5 + 1) * 0.1;
        line.add(work, 0.2 + 1.5 * work);
    }
    assert!((line.at(1.0).unwrap() - 1.7).abs() < 1e-2);
    assert!((line.usual().unwrap() - 0.3).abs() < 1e-2);
}

#[test]
fn calls_that_all_ask_for_the_same_give_their_mean_time() {
    let mut line = Line::default();
    for n in 0..100 {
        line.add(0.1, if n % 2 == 0 { 0.2 } else { 0.4 });
    }
    assert!((line.at(5.0).unwrap() - 0.3).abs() < 1e-2);
}

#[test]
fn a_record_fades_with_time_and_with_each_call() {
    let mut record = Record::new(0.0);
    record.add(0.0, true);
    record.add(0.0, false);
    assert_eq!(record.at(0.0), (0.9, 1.9));
    assert!(record.at(100.0).1 < 1e-3);
}
