//! Each error kind belongs either to the kinds before dispatch or to those after it.

use dragonflyrill_delivery::{
    ErrorKind, RunStatus,
    error::{AfterDispatchKind, NotRunKind},
};

#[test]
fn every_kind_is_either_not_run_or_after_dispatch() {
    for &kind in ErrorKind::ALL {
        let not_run = kind.answer().run == RunStatus::NotRun;
        assert_eq!(NotRunKind::try_from(kind).is_ok(), not_run, "{kind:?}");
        assert_eq!(
            AfterDispatchKind::try_from(kind).is_err(),
            not_run,
            "{kind:?}"
        );
    }
    let both = NotRunKind::ALL.len() + AfterDispatchKind::ALL.len();
    assert_eq!(both, ErrorKind::ALL.len());
}
