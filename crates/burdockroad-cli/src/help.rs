//! Help texts.

/// Help of one command: its words, its arguments and its description.
struct Entry {
    words: &'static str,
    arguments: &'static str,
    description: &'static str,
}

const ENTRIES: [Entry; 29] = [
    entry(
        "config validate",
        "FILE",
        "Validate a document and print all errors in it. Does not need a store.",
    ),
    entry("config diff", "FILE", "Show what applying FILE would change."),
    entry(
        "config apply",
        "FILE --expect-version N",
        "Store FILE as the next version. N is the version that FILE is based on, as printed by `config show`; 0 for the first document.",
    ),
    entry(
        "config show",
        "[--at VERSION]",
        "Print the stored document or an earlier version, including comments. The version is printed on standard error.",
    ),
    entry(
        "config history",
        "",
        "List the earlier versions in the history and the stored one.",
    ),
    entry(
        "account list",
        "",
        "List the client accounts with their rates, bursts and keys.",
    ),
    entry(
        "account add",
        "ACCOUNT --rate PER_SECOND --burst CALLS [--weight SHARE]",
        "Add a client account.",
    ),
    entry(
        "account set",
        "ACCOUNT [--rate PER_SECOND] [--burst CALLS] [--weight SHARE]",
        "Change a client account.",
    ),
    entry(
        "account remove",
        "ACCOUNT",
        "Remove a client account and all of its keys.",
    ),
    entry(
        "key issue",
        "ACCOUNT",
        "Issue a key and print it on standard output. It is shown only once; the store contains only its hash.",
    ),
    entry(
        "key revoke",
        "KEY_ID",
        "Withdraw a key. It stops working within seconds, including for connected callers.",
    ),
    entry(
        "key list",
        "[--account ACCOUNT]",
        "List the ids of keys, their accounts, and whether they are valid.",
    ),
    entry("route list", "", "List the routes."),
    entry(
        "route add",
        "ROUTE --kind model|service --set ENDPOINT_SET... [--access keyed|open] [--idempotent]",
        "Add a route.",
    ),
    entry("route remove", "ROUTE", "Remove a route."),
    entry("endpoint list", "", "List the endpoints."),
    entry(
        "endpoint set",
        "ENDPOINT_SET ENDPOINT [--address IP:PORT] [--host-id HOST] [--failure-domain NAME] [--slots CALLS]",
        "Add an endpoint, which requires all options, or change an existing one.",
    ),
    entry(
        "endpoint drain",
        "ENDPOINT [--undo]",
        "Send no new calls to an endpoint, or return it to service with --undo.",
    ),
    entry(
        "domain list",
        "",
        "List the failure domains of the endpoints, and whether they are evacuated.",
    ),
    entry(
        "domain evacuate",
        "DOMAIN",
        "Send no new calls to the endpoints of a failure domain. Running calls finish in place.",
    ),
    entry(
        "domain restore",
        "DOMAIN",
        "End the evacuation of a failure domain.",
    ),
    entry(
        "site shift",
        "SITE=WEIGHT...",
        "Set the weights by which new programs are distributed over the sites; a site with weight 0 receives none.",
    ),
    entry(
        "program list",
        "[--account ACCOUNT]",
        "List the programs of all hosts.",
    ),
    entry("program show", "PROGRAM", "Show one program."),
    entry("program end", "PROGRAM", "End a program and its sub-agents."),
    entry("host list", "", "List the hosts and what they own."),
    entry(
        "host drain",
        "ADMIN_ADDRESS",
        "Make a host hand over all of its work and accept no new work.",
    ),
    entry(
        "status",
        "",
        "Print the document version in force on each host, the endpoints that each host owns, and the worst-served accounts.",
    ),
    entry(
        "completions",
        "bash|zsh|fish",
        "Print the completion script of a shell.",
    ),
];

const OPTIONS: &str = "\
Options of all commands:
  --store http://IP:PORT    Address of the key-value service; repeat it for more addresses.
                            Default: BURDOCKROAD_STORE, addresses separated by commas.
  --data-folder FOLDER      Data folder of the embedded store of a single host that is not running.
  --host IP:PORT            Admin address of a host; repeat it for each host.
                            Default: BURDOCKROAD_HOSTS, addresses separated by commas.
  --host-list URL           Read the hosts from the platform's host list instead.
  --admin-port PORT         Admin port of hosts from the host list. Default: 8082.
  --output text|json        Output format. Default: text.
  --expect-version N        Refuse the change unless the stored version is N.
  --dry-run                 Print the change without storing it.
  --wait SECONDS            Maximum time to wait until a change is in force on every host. Default: 10.
  --no-wait                 Return without waiting until the change is in force.
  --help, --version
";

const EXIT_CODES: &str = "\
Exit codes:
  0  the command succeeded
  1  the command failed for another reason
  2  the command line is not valid; nothing was done
  3  the document is not valid; nothing was changed
  4  the change is stored, but was not in force on every host before the timeout
  5  the document was changed concurrently; this command changed nothing
  6  the store cannot be reached; nothing was changed
  7  it is not known whether the change is stored
  8  the object that the command names does not exist; nothing was changed
  9  the document already has the state that the command would set; nothing was changed
";

impl Entry {
    fn lines(&self) -> String {
        let usage = format!("  {} {}", self.words, self.arguments);
        format!("{}\n      {}", usage.trim_end(), self.description)
    }
}

const fn entry(words: &'static str, arguments: &'static str, description: &'static str) -> Entry {
    Entry {
        words,
        arguments,
        description,
    }
}

/// Returns the help of the commands whose first words match, or of all commands if none match.
pub fn text(words: &[&str]) -> String {
    let matches_words = |entry: &&Entry| {
        let mut entry_words = entry.words.split(' ');
        words
            .iter()
            .take(2)
            .all(|word| entry_words.next().is_none_or(|entry_word| entry_word == *word))
    };
    let entries: Vec<&Entry> = ENTRIES.iter().filter(matches_words).collect();
    let entries = if entries.is_empty() {
        ENTRIES.iter().collect()
    } else {
        entries
    };
    let lines: Vec<String> = entries.into_iter().map(Entry::lines).collect();
    let commands = lines.join(
        "
",
    );
    format!(
        "Usage: burdockroad COMMAND [OPTIONS]

{commands}

{OPTIONS}
{EXIT_CODES}"
    )
}

/// Returns the first words of all commands.
pub fn groups() -> Vec<&'static str> {
    let mut groups: Vec<&str> = ENTRIES.iter().map(|entry| first(entry.words)).collect();
    groups.dedup();
    groups
}

/// Returns the second words of the commands of a group.
pub fn verbs(group: &str) -> Vec<&'static str> {
    let entries = ENTRIES.iter().filter(|entry| first(entry.words) == group);
    entries
        .filter_map(|entry| entry.words.split_once(' ').map(|(_, verb)| verb))
        .collect()
}

fn first(words: &'static str) -> &'static str {
    words.split_once(' ').map_or(words, |(first, _)| first)
}
