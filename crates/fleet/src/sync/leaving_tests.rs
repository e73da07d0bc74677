//! Confirmations of other control VMs that a target leaves.

use super::*;

fn vm(number: u8) -> VmId {
    format!("10.0.1.{number}").parse().expect("valid id")
}

/// Guards against a confirmation that was meant for an earlier process of this VM, arrives after its
/// restart, and counts for another target.
#[test]
fn record_confirmation_of_earlier_process() {
    let (earlier, _, _receiver) = Confirmations::default().begin();
    let mut confirmations = Confirmations::default();
    let (sequence, _, mut receiver) = confirmations.begin();
    confirmations.record(earlier, vm(1));
    assert!(receiver.try_recv().is_err());
    confirmations.record(sequence, vm(2));
    assert_eq!(receiver.try_recv(), Ok(vm(2)));
}
