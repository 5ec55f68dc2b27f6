//! Guards against a node's registration being lost to a call of an earlier process of the node that
//! the store executes late.

use std::net::SocketAddr;

use quickcheck::QuickCheck;
use wingspar_ownership::{
    Incarnation, NodeName, RegisterStep, RegisteredNodes, Registration, RegistrationCall,
    RemoveStep, StoreEra, StoredRegistration,
};

/// Most calls that a process makes to register or to remove its registration.
const MAX_CALLS: usize = 8;
/// Number of random runs.
const RUNS: u64 = 5_000;

fn registration(life: u64) -> Registration {
    Registration {
        address: SocketAddr::from(([10, 0, 0, 1], 7_000)),
        service: Some("stock".to_owned()),
        life: Some(Incarnation(life)),
        era: Some(StoreEra::default()),
    }
}

/// The store's object of one node, and calls that have yet to be executed.
#[derive(Default)]
struct Store {
    revision: u64,
    object: Option<(u64, Registration)>,
    delayed: Vec<(RegistrationCall, Registration)>,
}

impl Store {
    fn shown(&self) -> StoredRegistration {
        match &self.object {
            Some((revision, content)) => StoredRegistration::Present {
                revision: *revision,
                content: Some(content.clone()),
            },
            None => StoredRegistration::Absent,
        }
    }

    fn execute(&mut self, call: RegistrationCall, content: &Registration) -> StoredRegistration {
        let known = self.object.as_ref().map(|(revision, _)| *revision);
        let next = match call {
            RegistrationCall::Create if known.is_none() => Some(content.clone()),
            RegistrationCall::Replace { revision } if known == Some(revision) => {
                Some(content.clone())
            }
            RegistrationCall::Remove { revision } if known == Some(revision) => None,
            _ => return self.shown(),
        };
        self.revision += 1;
        let revision = self.revision;
        self.object = next.map(|content| (revision, content));
        self.shown()
    }

    fn execute_delayed(&mut self, choice: u8) {
        if !self.delayed.is_empty() {
            let index = usize::from(choice) % self.delayed.len();
            let (call, content) = self.delayed.remove(index);
            let _unsent = self.execute(call, &content);
        }
    }
}

/// Draws what happens next; the same at the end of the choices as a choice of zero.
struct Choices(std::vec::IntoIter<u8>);

impl Choices {
    fn next(&mut self) -> u8 {
        self.0.next().unwrap_or(0)
    }
}

/// Makes a call. Returns `None` if its answer is lost; the store has then executed the call,
/// executes it later, or never does.
fn make(
    store: &mut Store,
    choices: &mut Choices,
    call: RegistrationCall,
    content: &Registration,
) -> Option<StoredRegistration> {
    let choice = choices.next();
    if choice & 0x10 != 0 {
        store.execute_delayed(choice >> 5);
    }
    match choice & 0x03 {
        0 => return Some(store.execute(call, content)),
        1 => {
            let _lost = store.execute(call, content);
        }
        2 => {}
        _ => store.delayed.push((call, content.clone())),
    }
    None
}

/// Returns the revision of the process's registration; `None` if it couldn't register.
fn register(store: &mut Store, choices: &mut Choices, own: &Registration) -> Option<u64> {
    let mut call = RegistrationCall::Create;
    for _ in 0..MAX_CALLS {
        call = match make(store, choices, call, own) {
            None => RegistrationCall::Create,
            Some(stored) => match own.register_step(&stored) {
                RegisterStep::Registered { revision } => return Some(revision),
                RegisterStep::Call(next) => next,
            },
        };
    }
    None
}

fn remove(store: &mut Store, choices: &mut Choices, own: &Registration, revision: u64) {
    let mut call = RegistrationCall::Remove { revision };
    for _ in 0..MAX_CALLS {
        call = match make(store, choices, call, own) {
            None => RegistrationCall::Remove { revision },
            Some(stored) => match own.remove_step(&stored) {
                RemoveStep::Removed => return,
                RemoveStep::Call(next) => next,
            },
        };
    }
}

/// Runs processes of a node one after the other. Returns whether the store held the registration of
/// each one from its acknowledgement until the process was killed or began to remove it.
fn keeps_registrations(choices: Vec<u8>) -> bool {
    let mut choices = Choices(choices.into_iter());
    let mut store = Store::default();
    for life in 1..=4 {
        let own = registration(life);
        let Some(revision) = register(&mut store, &mut choices, &own) else {
            continue;
        };
        for _ in 0..choices.next() % 4 {
            store.execute_delayed(choices.next());
        }
        let is_stored = store
            .object
            .as_ref()
            .is_some_and(|(_, known)| *known == own);
        if !is_stored {
            return false;
        }
        let is_killed = choices.next() & 0x01 != 0;
        if !is_killed {
            remove(&mut store, &mut choices, &own, revision);
        }
    }
    true
}

#[test]
fn late_calls_of_earlier_processes_keep_a_registration() {
    QuickCheck::new()
        .tests(RUNS)
        .quickcheck(keeps_registrations as fn(Vec<u8>) -> bool);
}

#[test]
fn a_process_replaces_the_object_of_an_earlier_one_with_the_same_address() {
    // A delayed removal by the earlier process names the revision of that object.
    let mut store = Store::default();
    let (earlier, own) = (registration(1), registration(2));
    let removed = store.execute(RegistrationCall::Create, &earlier);
    let StoredRegistration::Present { revision, .. } = removed else {
        panic!("not stored: {removed:?}");
    };
    let mut choices = Choices(Vec::new().into_iter());
    assert!(register(&mut store, &mut choices, &own).is_some());
    store.execute(RegistrationCall::Remove { revision }, &earlier);
    assert_eq!(store.object.map(|(_, content)| content), Some(own));
}

#[test]
fn a_process_reads_an_object_that_a_conflict_does_not_show() {
    let own = registration(2);
    let read = RegisterStep::Call(RegistrationCall::Read);
    assert_eq!(own.register_step(&StoredRegistration::NotShown), read);
    let unreadable = StoredRegistration::Present {
        revision: 7,
        content: None,
    };
    let replace = RegisterStep::Call(RegistrationCall::Replace { revision: 7 });
    assert_eq!(own.register_step(&unreadable), replace);
    assert_eq!(own.remove_step(&unreadable), RemoveStep::Removed);
}

#[test]
fn the_object_of_a_process_of_an_earlier_version_is_replaced() {
    let stored = r#"{"address":"10.0.0.1:7000","service":"stock"}"#;
    let stored =
        serde_json::from_str::<Registration>(stored).expect("as earlier versions write it");
    let stored = StoredRegistration::Present {
        revision: 3,
        content: Some(stored),
    };
    let replace = RegisterStep::Call(RegistrationCall::Replace { revision: 3 });
    assert_eq!(registration(1).register_step(&stored), replace);
}

#[test]
fn each_era_has_an_object_of_its_own() {
    let node = NodeName::from("node-1");
    let written_for = |era| Registration {
        era,
        ..registration(1)
    };
    let names = [
        None,
        Some(StoreEra(0)),
        Some(StoreEra(1)),
        Some(StoreEra(2)),
    ]
    .map(|era| written_for(era).object_name(&node));
    assert_eq!(names, ["node-1", "node-1", "node-1.era1", "node-1.era2"]);
    for era in [None, Some(StoreEra(0)), Some(StoreEra(7))] {
        let registration = written_for(era);
        let object_name = registration.object_name(&node);
        assert_eq!(registration.node(&object_name), node);
    }
}

#[test]
fn the_object_of_the_latest_era_counts_whatever_the_order_of_the_list() {
    let node = NodeName::from("node-1");
    let eras = [StoreEra(9), StoreEra(10)].map(Some);
    let written_for = |era| Registration {
        era,
        ..registration(1)
    };
    for order in [[0, 1], [1, 0]] {
        let mut listed = RegisteredNodes::default();
        for index in order {
            let object = written_for(eras[index]);
            listed.add_self_registered(&object.object_name(&node), object);
        }
        let known = listed.self_registered.into_iter().collect::<Vec<_>>();
        assert_eq!(known, [(node.clone(), written_for(eras[1]))]);
    }
}
