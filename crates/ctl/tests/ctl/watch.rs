//! Watches over real connections.

use std::time::Duration;

use crate::support::{Mode, Running, ctl};
use wingspar_ctl::{Client, Failure, Kind, Versioned, Watch, WatchEvent};
use wingspar_world::{ConfigObject, PlacementPolicy};

const DEADLINE: Duration = Duration::from_secs(20);

async fn next(watch: &mut Watch) -> WatchEvent {
    let event = tokio::time::timeout(DEADLINE, watch.next()).await;
    event
        .expect("an event in time")
        .expect("a watch that goes on")
}

async fn next_name(watch: &mut Watch) -> String {
    match next(watch).await {
        WatchEvent::Changed(Versioned { object, .. }) => object.store_key(),
        other => panic!("no change: {other:?}"),
    }
}

#[tokio::test]
async fn a_watch_tells_what_is_there_and_then_every_change() {
    let group = Running::leader().await;
    let at = [group.address];
    ctl(&at, "policy create even").await;
    let mut watch = Client::new(at.to_vec()).watch(Kind::Policy);
    assert_eq!(next_name(&mut watch).await, "policies/even");
    assert_eq!(next(&mut watch).await, WatchEvent::Synced);
    ctl(&at, "policy create odd").await;
    assert_eq!(next_name(&mut watch).await, "policies/odd");
    ctl(&at, "policy delete even").await;
    assert_eq!(
        next(&mut watch).await,
        WatchEvent::Deleted("even".to_owned())
    );
}

#[tokio::test]
async fn a_watch_goes_on_at_another_replica_without_telling_twice() {
    let mut group = Running::leader().await;
    let other = Running::start(Mode::Leader, &group.shared).await;
    let at = [group.address, other.address];
    ctl(&at, "policy create even").await;
    ctl(&at, "policy create odd").await;
    let mut watch = Client::new(at.to_vec()).watch(Kind::Policy);
    next_name(&mut watch).await;
    next_name(&mut watch).await;
    assert_eq!(next(&mut watch).await, WatchEvent::Synced);

    group.stop();
    ctl(&at[1..], "policy delete even").await;
    ctl(&at[1..], "policy create new").await;
    let mut told = vec![next(&mut watch).await, next(&mut watch).await];
    told.sort_by_key(|event| matches!(event, WatchEvent::Deleted(_)));
    let WatchEvent::Changed(created) = &told[0] else {
        panic!("nothing created: {told:?}");
    };
    let policy = PlacementPolicy::with_defaults("new".parse().unwrap());
    assert_eq!(created.object, ConfigObject::Policy(policy));
    assert_eq!(told[1], WatchEvent::Deleted("even".to_owned()));
}

#[tokio::test]
async fn a_watch_that_nobody_serves_ends() {
    let follower = Running::start(Mode::Follower, &std::sync::Arc::default()).await;
    let client = Client::new(vec![follower.address]).with_limit(Duration::from_millis(500));
    let ended = client.watch(Kind::Target).next().await;
    assert!(
        matches!(ended, Err(Failure::Unavailable { .. })),
        "{ended:?}"
    );
}
