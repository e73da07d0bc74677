//! Store ids of founders: they decide whose votes count together.

use super::*;

fn ids<const N: usize>(texts: [&str; N]) -> [VmId; N] {
    texts.map(|text| text.parse().expect("valid id"))
}

/// Guards against founders that do not count each other's votes because their settings list the
/// founders in another order.
#[test]
fn store_id_order_of_founders() {
    let [a, b, c] = ids(["10.0.0.1", "10.0.0.2", "10.0.0.3"]);
    let listed = [a.clone(), b.clone(), c.clone()];
    assert_eq!(store_id(&a, &listed), store_id(&a, &[c, b, a.clone(), a.clone()]));
}

/// Guards against two groups: votes of founders with different lists must not add up to a majority.
#[test]
fn store_id_other_founders_or_vm() {
    let [a, b, c, d] = ids(["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.31"]);
    let listed = [a.clone(), b.clone(), c.clone()];
    assert_ne!(store_id(&a, &listed), store_id(&a, &[a.clone(), b.clone(), d]));
    assert_ne!(store_id(&a, &listed), store_id(&a, &[a.clone(), b.clone()]));
    assert_ne!(store_id(&a, &listed), store_id(&b, &listed));
}
