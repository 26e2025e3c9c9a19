//! What `--help` prints.

/// One command: its words, its arguments, and what it does.
struct Entry {
    words: &'static str,
    arguments: &'static str,
    purpose: &'static str,
}

const ENTRIES: [Entry; 26] = [
    entry(
        "config validate",
        "FILE",
        "Check a document and print everything that is wrong with it. Needs no store.",
    ),
    entry("config diff", "FILE", "Show what applying FILE would change."),
    entry(
        "config apply",
        "FILE --expect-version N",
        "Store FILE as the next version. N is the version that FILE was made from, as `config show` told; 0 for the first document.",
    ),
    entry(
        "config show",
        "[--at VERSION]",
        "Print the stored document, or an earlier version, with its comments; its version goes to standard error.",
    ),
    entry("config history", "", "List the versions that are kept."),
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
        "Remove a client account and all its keys.",
    ),
    entry(
        "key issue",
        "ACCOUNT",
        "Make a key and print it on standard output. It is shown this once; only its hash is kept.",
    ),
    entry(
        "key revoke",
        "KEY_ID",
        "Withdraw a key. It stops working within seconds, also for connected callers.",
    ),
    entry("key list", "[--account ACCOUNT]", "List keys by their ids."),
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
        "Add an endpoint, for which all options are needed, or change one.",
    ),
    entry(
        "endpoint drain",
        "ENDPOINT [--undo]",
        "Give an endpoint no new work, or give it work again.",
    ),
    entry(
        "site shift",
        "SITE=WEIGHT...",
        "Set the shares of new programs that the sites get; 0 gives a site none.",
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
        "Let a host hand all its work over and take no more.",
    ),
    entry(
        "status",
        "",
        "Tell which version is in force where, who owns what, and which accounts are served worst.",
    ),
    entry("completions", "bash|zsh|fish", "Print completions of a shell."),
];

const OPTIONS: &str = "\
Options of all commands:
  --store http://IP:PORT    The key-value service; repeat it for further addresses.
                            Default: BURDOCKROAD_STORE, with commas between addresses.
  --data-folder FOLDER      The embedded store of a single host that is not running.
  --host IP:PORT            Admin address of a host; repeat it for each host.
                            Default: BURDOCKROAD_HOSTS, with commas between addresses.
  --host-list URL           Take the hosts from the platform's host list instead.
  --admin-port PORT         Admin port of hosts from the host list. Default: 8082.
  --output text|json        Form of what is printed. Default: text.
  --expect-version N        Change nothing unless the stored version is N.
  --dry-run                 Show the change and store nothing.
  --wait SECONDS            How long to wait until a change is in force on every host. Default: 10.
  --no-wait                 Do not wait.
  --help, --version
";

const EXIT_CODES: &str = "\
Exit codes:
  0  done
  1  failed
  2  the command line is not valid; nothing was done
  3  the document is not valid; nothing was changed
  4  the change is stored, but not in force on every host within the time
  5  somebody else changed the document meanwhile; nothing was changed
  6  the store cannot be reached; nothing was changed
  7  it could not be found out whether the change is stored
  8  what the command names does not exist; nothing was changed
";

impl Entry {
    fn lines(&self) -> String {
        let usage = format!("  {} {}", self.words, self.arguments);
        format!("{}\n      {}", usage.trim_end(), self.purpose)
    }
}

const fn entry(words: &'static str, arguments: &'static str, purpose: &'static str) -> Entry {
    Entry {
        words,
        arguments,
        purpose,
    }
}

/// Returns the help of the commands that begin with some words, or of all.
pub fn text(words: &[&str]) -> String {
    let wanted = |entry: &&Entry| {
        let mut entry_words = entry.words.split(' ');
        words
            .iter()
            .take(2)
            .all(|word| entry_words.next().is_none_or(|own| own == *word))
    };
    let entries: Vec<&Entry> = ENTRIES.iter().filter(wanted).collect();
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
