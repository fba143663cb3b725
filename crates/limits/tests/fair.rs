//! Tests of the fair queue: an owner with many items, or with large ones, must not take more than
//! its weight allows from the others.

use dragonflyrill_limits::fair::FairQueue;

/// Serves up to `n` items and returns their owners in order.
fn served(queue: &mut FairQueue<u32, u32>, n: usize) -> Vec<u32> {
    (0..n).filter_map(|_| queue.pop()).collect()
}

#[test]
fn equal_owners_are_served_equal_cost_whatever_their_number_of_items() {
    let mut queue = FairQueue::new(1000);
    for _ in 0..900 {
        queue.push(0, &1, 1, 10, 1).unwrap();
    }
    for _ in 0..100 {
        queue.push(0, &2, 1, 90, 2).unwrap();
    }
    let served = served(&mut queue, 500);
    let first = served.iter().filter(|o| **o == 1).count();
    assert!((449..=451).contains(&first), "{first}");
}

#[test]
fn weight_scales_an_owners_share() {
    let mut queue = FairQueue::new(1000);
    for _ in 0..400 {
        queue.push(0, &1, 3, 10, 1).unwrap();
        queue.push(0, &2, 1, 10, 2).unwrap();
    }
    let served = served(&mut queue, 400);
    let first = served.iter().filter(|o| **o == 1).count();
    assert!((299..=301).contains(&first), "{first}");
}

#[test]
fn a_lower_class_waits_for_a_higher_one() {
    let mut queue = FairQueue::new(10);
    queue.push(5, &1, 1, 1, 5).unwrap();
    queue.push(0, &2, 1, 1000, 0).unwrap();
    assert_eq!(served(&mut queue, 2), [0, 5]);
}

#[test]
fn a_full_queue_of_one_owner_does_not_block_another() {
    let mut queue = FairQueue::new(1);
    queue.push(0, &1, 1, 1, 1).unwrap();
    assert!(queue.push(0, &1, 1, 1, 1).is_err());
    assert!(queue.push(0, &2, 1, 1, 2).is_ok());
}
