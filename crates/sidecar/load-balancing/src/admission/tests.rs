use super::*;

// Guards against requests that occupy all connections, and against requests of low value that leave no connection to
// those of high value.
#[test]
fn requests_of_low_value_are_rejected_first_and_some_connections_stay_free() {
    let admission = Admission::new(128, 1000);
    let max = |value: f64| (0..=128).take_while(|n| admission.admits(*n, value)).count();
    assert_eq!((max(1.0), max(0.5), max(0.0)), (112, 96, 80));
    assert_eq!((max(7.0), max(-1.0)), (112, 80), "a value outside of 0..=1 is clamped");
    assert!(!Admission::new(128, 50).admits(50, 1.0) && Admission::new(128, 50).admits(49, 0.2));
    // One request is admitted, however few connections there are.
    assert!(Admission::new(1, 10).admits(0, 0.0) && !Admission::new(1, 10).admits(1, 1.0));
}
