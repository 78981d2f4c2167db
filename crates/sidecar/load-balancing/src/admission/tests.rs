use super::*;

// Guards against requests that take all connections, and against cheap ones that leave none to dear ones.
#[test]
fn cheap_requests_are_refused_before_dear_ones_and_some_connections_stay_free() {
    let admission = Admission::new(128, 1000);
    let most = |worth: f64| (0..=128).take_while(|n| admission.takes(*n, worth)).count();
    assert_eq!((most(1.0), most(0.5), most(0.0)), (112, 96, 80));
    assert_eq!((most(7.0), most(-1.0)), (112, 80), "a worth out of range is no harm");
    assert!(!Admission::new(128, 50).takes(50, 1.0) && Admission::new(128, 50).takes(49, 0.2));
    // One request is taken however few connections there are.
    assert!(Admission::new(1, 10).takes(0, 0.0) && !Admission::new(1, 10).takes(1, 1.0));
}
