//! Pages of help, with examples at each level.

const TOP: &str = "\
Operators' commands of wingspar.

Usage: wingspar ctl [OPTIONS] COMMAND

Commands:
  service   create, get, list, update, delete, watch services
  target    create, get, list, update, delete, watch targets
  policy    create, get, list, update, delete, watch placement policies
  placement show who owns which key, why and since when
  move      move a key or a range to a target
  drain     have a target give up its keys and get no new work
  undrain   take a drain back
  weights   shift load between regions, pause and resume moves
  rollout   show how far a configuration is in force
  group     show the control group

Options:
  --endpoint IP:PORT  operator address; may be repeated, tried in turn [127.0.0.1:7401]
  --json              output as JSON
  --change-id ID      repeat a change under its id [a new one]
  --limit SECONDS     longest time to try [15]
  --help              this page, or that of a command

Exit codes:
  0 done            1 done, but output lost
  2 wrong usage     3 refused as wrong
  4 conflict        5 unavailable
  7 not found       6 unknown whether it was done

Examples:
  wingspar ctl service list
  wingspar ctl --endpoint 10.0.0.1:7401 --endpoint 10.0.0.2:7401 --json group
  wingspar ctl move --help
";

const OBJECT: &str = "\
Usage: wingspar ctl NOUN VERB

Verbs:
  create (--file FILE | NAME FIELDS)                create; a conflict when it exists
  update (--file FILE | NAME FIELDS) [--version N]  replace, or change the fields given
  delete NAME [--version N]                         delete
  get NAME                                          show one, as a file for update
  list                                              show all
  watch                                             show all, then every change, until stopped

A file is TOML or JSON; - is standard input. Without --version the version it has now is expected;
with it the command ends with 4 (conflict) when somebody else changed the object since.
";

const SERVICE: &str = "
Fields: --kind keyed|unkeyed  --policy NAME  --host HOST (repeatable)  --key-header HEADER
  --key-path /PATH/{key}  --max-key-bytes N  --deadline-ms N  --max-deadline-ms N  --window-ms N
  --guard true|false. Rules for classes and repeatability need a file.

Examples:
  wingspar ctl service create stoc --kind keyed --policy even --key-path '/stock/{key}'
  wingspar ctl service create --file stoc.toml
  wingspar ctl service get stoc > stoc.toml
  wingspar ctl service update --file stoc.toml --version 12
  wingspar ctl service delete stoc
";

const TARGET: &str = "
Fields: --service NAME  --machine NAME  --region NAME  --zone NAME  --address IP:PORT  --slots N
  --connections N  --draining true|false. List takes --service NAME.

Examples:
  wingspar ctl target create stoc-1 --service stoc --machine till-01 --region cymru-de \\
    --zone neuadd-a --address 10.0.0.5:9000
  wingspar ctl target update stoc-1 --slots 30
  wingspar ctl target list --service stoc
";

const POLICY: &str = "
Fields: --slices N  --high X  --low X  --churn X  --hot X  --weight REGION=X (repeatable)
  --quiet HH:MM-HH:MM (UTC, repeatable)  --paused true|false

Examples:
  wingspar ctl policy create even
  wingspar ctl policy create day-only --churn 0.1 --quiet 22:00-10:00
  wingspar ctl policy update even --high 1.5
";

const PLACEMENT: &str = "\
Usage: wingspar ctl placement show SERVICE [--key KEY]

Shows the targets of a service and its slices: range of key hashes, owner, fence, why and since when.

Examples:
  wingspar ctl placement show stoc
  wingspar ctl --json placement show stoc --key rosa-canina
";

const MOVE: &str = "\
Usage: wingspar ctl move SERVICE (--key KEY | --range FIRST-LAST) --to TARGET [--stored]

Orders a move; `placement show` tells when it is done. A key becomes a slice of its own; a range is
given by hashes as `placement show` prints them. The move is acknowledged when a majority of the
control group has it, with --stored when the platform's store has it too.

Examples:
  wingspar ctl move stoc --key rosa-canina --to stoc-2
  wingspar ctl move stoc --range 0000000000000000-00ffffffffffffff --to stoc-3 --stored
";

const DRAIN: &str = "\
Usage: wingspar ctl drain TARGET
       wingspar ctl undrain TARGET

A draining target hands its keys over, finishes what it runs and gets no new work.

Examples:
  wingspar ctl drain stoc-1
  wingspar ctl undrain stoc-1
";

const WEIGHTS: &str = "\
Usage: wingspar ctl weights POLICY [REGION=WEIGHT ...] [--pause | --resume]

Sets the relative share of each region; keys move within the policy's churn budget. Weight 0 empties a
region. The weights given replace all weights of the policy; without any they stay.

Examples:
  wingspar ctl weights even cymru-de=90 cymru-gogledd=10
  wingspar ctl weights even --pause
  wingspar ctl weights even cymru-de=100 cymru-gogledd=0 --resume
";

const ROLLOUT: &str = "\
Usage: wingspar ctl rollout [VERSION] [--wait]

Shows whether a configuration version, or the newest, is in force everywhere: no node with a running
lease serves by an older one. With --wait it waits until then, up to --limit, and ends with 5 otherwise.

Examples:
  wingspar ctl rollout
  wingspar ctl --limit 30 rollout 42 --wait
";

const GROUP: &str = "\
Usage: wingspar ctl group [show]
       wingspar ctl group force-generation GENERATION --dead MACHINE#INCARNATION ... --accept-risk

Shows the control group: generation, term, leader, members, sessions, and how much of its state the
platform's store holds.

force-generation gives up a generation whose majority is lost without proof that it is dead. You vouch
that the members named can never come back: if one does, two servers may own the same key.

Examples:
  wingspar ctl group
  wingspar ctl group force-generation 3 --dead till-01#5f0c --dead till-02#77aa --accept-risk
";

/// The page for a command; the top page when there is none.
pub(crate) fn page(command: &str) -> String {
    let noun = command.split(' ').next().unwrap_or_default();
    let page = match noun {
        "service" => return object_page(noun, SERVICE),
        "target" => return object_page(noun, TARGET),
        "policy" => return object_page(noun, POLICY),
        "placement" => PLACEMENT,
        "move" => MOVE,
        "drain" | "undrain" => DRAIN,
        "weights" => WEIGHTS,
        "rollout" => ROLLOUT,
        "group" => GROUP,
        _ => TOP,
    };
    page.to_owned()
}

fn object_page(noun: &str, fields: &str) -> String {
    format!("{}{fields}", OBJECT.replace("NOUN", noun))
}
