//! Parses and validates the text of a document.

use std::collections::HashSet;

use crate::config::{
    document::{
        Access, Account, BudgetDefaults, Document, Endpoint, EndpointSet, Fencing, Key, Route, RouteKind,
        Site, default_weight,
    },
    finding::Finding,
    limits::{
        ACCOUNT_WEIGHT_MAX, ACCOUNT_WEIGHT_MIN, ACCOUNTS_MAX, BUDGET_CALLS_MAX, BUDGET_DURATION_MAX_S,
        BUDGET_TOKENS_MAX, BURST_MAX, COMPLETION_TOKENS_MAX, ENDPOINT_SETS_MAX, ENDPOINTS_PER_SET_MAX,
        EVACUATED_DOMAINS_MAX, KEYS_PER_ACCOUNT_MAX, RATE_MAX_PER_S, RATE_MIN_PER_S, ROUTES_MAX,
        SITE_WEIGHT_MAX, SITES_MAX, SLOTS_MAX,
    },
    names::{KnownNames, NameTable, Reference},
    reader::{Fields, Node, Reader, read},
    versioned::{ENVELOPE_MAX_BYTES, envelope_bytes},
};

/// Parses and validates a document in JSON with comments.
///
/// # Errors
///
/// Returns all findings, ordered by location. A syntax error gives only one finding, because the text
/// after it cannot be parsed.
///
/// # Example
///
/// ```
/// let text = r#"{ "sites": [], "accounts": [], "routes": [], "endpoint_sets": [] } // nothing yet"#;
/// assert!(burdockroad::config::parse(text).unwrap().accounts.is_empty());
/// ```
pub fn parse(text: &str) -> Result<Document, Vec<Finding>> {
    read(text, |reader, node| {
        check_size(reader, node, text);
        Checker::new().document(reader, node)
    })
}

fn check_size(reader: &mut Reader<'_>, node: &Node<'_>, text: &str) {
    let bytes = envelope_bytes(text);
    if bytes > ENVELOPE_MAX_BYTES {
        let message = format!(
            "the document takes {bytes} bytes in the key-value service; allowed: up to {ENVELOPE_MAX_BYTES}"
        );
        reader.report(node.location(), &message);
    }
}

/// Names defined so far, and references that are resolved after the whole document has been read.
#[derive(Debug)]
struct Checker {
    sites: NameTable,
    accounts: NameTable,
    key_ids: NameTable,
    key_hashes: NameTable,
    routes: NameTable,
    endpoint_sets: NameTable,
    endpoints: NameTable,
    addresses: NameTable,
    failure_domains: KnownNames,
    site_references: Vec<Reference>,
    set_references: Vec<Reference>,
    domain_references: Vec<Reference>,
}

impl Checker {
    fn new() -> Self {
        Self {
            sites: NameTable::new("site"),
            accounts: NameTable::new("account"),
            key_ids: NameTable::new("key id"),
            key_hashes: NameTable::new("key hash"),
            routes: NameTable::new("route"),
            endpoint_sets: NameTable::new("endpoint set"),
            endpoints: NameTable::new("endpoint"),
            addresses: NameTable::new("endpoint address"),
            failure_domains: KnownNames::new("failure domain"),
            site_references: Vec::new(),
            set_references: Vec::new(),
            domain_references: Vec::new(),
        }
    }

    fn document(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Document> {
        let mut fields = Fields::open(reader, node)?;
        let sites = fields
            .required(reader, "sites")
            .and_then(|node| self.site_list(reader, &node));
        let accounts = fields
            .required(reader, "accounts")
            .and_then(|node| reader.list(&node, ACCOUNTS_MAX, |reader, node| self.account(reader, node)));
        let routes = fields
            .required(reader, "routes")
            .and_then(|node| reader.list(&node, ROUTES_MAX, |reader, node| self.route(reader, node)));
        let endpoint_sets = fields.required(reader, "endpoint_sets").and_then(|node| {
            reader.list(&node, ENDPOINT_SETS_MAX, |reader, node| {
                self.endpoint_set(reader, node)
            })
        });
        let evacuated_domains = fields
            .optional("evacuated_domains")
            .map_or(Some(Vec::new()), |node| self.evacuated_domains(reader, &node));
        let budget_defaults = fields
            .optional("budget_defaults")
            .map_or(Some(BudgetDefaults::default()), |node| {
                budget_defaults(reader, &node)
            });
        fields.close(reader);
        self.sites.resolve(reader, &self.site_references);
        self.endpoint_sets.resolve(reader, &self.set_references);
        self.failure_domains.resolve(reader, &self.domain_references);
        Some(Document {
            sites: sites?,
            accounts: accounts?,
            routes: routes?,
            endpoint_sets: endpoint_sets?,
            evacuated_domains: evacuated_domains?,
            budget_defaults: budget_defaults?,
        })
    }

    fn site_list(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Vec<Site>> {
        let sites = reader.list(node, SITES_MAX, |reader, node| self.site(reader, node))?;
        let has_zero_weight = |site: &Site| site.weight == 0;
        let all_read = sites.len() == node.list_len();
        if !sites.is_empty() && all_read && sites.iter().all(has_zero_weight) {
            reader.report(
                node.location(),
                "found weight 0 for every site; allowed: at least one site that takes new programs",
            );
        }
        Some(sites)
    }

    fn site(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Site> {
        let mut fields = Fields::open(reader, node)?;
        let id = fields
            .required(reader, "id")
            .and_then(|node| self.sites.define(reader, &node));
        let weight = fields
            .required(reader, "weight")
            .and_then(|node| reader.integer_u32(&node, 0..=SITE_WEIGHT_MAX));
        fields.close(reader);
        Some(Site {
            id: id?,
            weight: weight?,
        })
    }

    fn account(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Account> {
        let mut fields = Fields::open(reader, node)?;
        let id = fields
            .required(reader, "id")
            .and_then(|node| self.accounts.define(reader, &node));
        let rate_per_s = fields
            .required(reader, "rate_per_s")
            .and_then(|node| reader.number(&node, RATE_MIN_PER_S..=RATE_MAX_PER_S));
        let burst = fields
            .required(reader, "burst")
            .and_then(|node| reader.integer_u32(&node, 1..=BURST_MAX));
        let weight = fields.optional("weight").map_or(Some(default_weight()), |node| {
            reader.number(&node, ACCOUNT_WEIGHT_MIN..=ACCOUNT_WEIGHT_MAX)
        });
        let keys = fields.optional("keys").map_or(Some(Vec::new()), |node| {
            reader.list(&node, KEYS_PER_ACCOUNT_MAX, |reader, node| self.key(reader, node))
        });
        fields.close(reader);
        Some(Account {
            id: id?,
            rate_per_s: rate_per_s?,
            burst: burst?,
            weight: weight?,
            keys: keys?,
        })
    }

    fn key(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Key> {
        let mut fields = Fields::open(reader, node)?;
        let id = fields
            .required(reader, "id")
            .and_then(|node| self.key_ids.define(reader, &node));
        let sha256 = fields
            .required(reader, "sha256")
            .and_then(|node| self.key_hash(reader, &node));
        let withdrawn = fields
            .optional("withdrawn")
            .map_or(Some(false), |node| reader.boolean(&node));
        fields.close(reader);
        Some(Key {
            id: id?,
            sha256: sha256?,
            withdrawn: withdrawn?,
        })
    }

    fn key_hash(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<String> {
        let hash = reader.secret_hash(node)?;
        self.key_hashes.add(reader, node, &hash);
        Some(hash)
    }

    fn route(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Route> {
        let mut fields = Fields::open(reader, node)?;
        let id = fields
            .required(reader, "id")
            .and_then(|node| self.routes.define(reader, &node));
        let kinds = [("model", RouteKind::Model), ("service", RouteKind::Service)];
        let kind = fields
            .required(reader, "kind")
            .and_then(|node| reader.choice(&node, &kinds));
        let accesses = [("keyed", Access::Keyed), ("open", Access::Open)];
        let access = fields
            .optional("access")
            .map_or(Some(Access::default()), |node| reader.choice(&node, &accesses));
        let idempotent = fields
            .optional("idempotent")
            .map_or(Some(false), |node| reader.boolean(&node));
        let endpoint_sets = fields
            .required(reader, "endpoint_sets")
            .and_then(|node| self.route_sets(reader, &node));
        fields.close(reader);
        Some(Route {
            id: id?,
            kind: kind?,
            access: access?,
            idempotent: idempotent?,
            endpoint_sets: endpoint_sets?,
        })
    }

    fn route_sets(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Vec<String>> {
        let references = &mut self.set_references;
        let sets = reference_list(reader, node, ENDPOINT_SETS_MAX, "endpoint set", references)?;
        if node.list_len() == 0 {
            reader.report(
                node.location(),
                "found an empty list; allowed: one endpoint set or more",
            );
        }
        Some(sets)
    }

    fn evacuated_domains(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Vec<String>> {
        let references = &mut self.domain_references;
        reference_list(reader, node, EVACUATED_DOMAINS_MAX, "failure domain", references)
    }

    fn endpoint_set(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<EndpointSet> {
        let mut fields = Fields::open(reader, node)?;
        let id = fields
            .required(reader, "id")
            .and_then(|node| self.endpoint_sets.define(reader, &node));
        let site = fields
            .required(reader, "site")
            .and_then(|node| Reference::read(reader, &node, &mut self.site_references));
        let fencings = [("refused", Fencing::Refused), ("ignored", Fencing::Ignored)];
        let fencing = fields
            .optional("fencing")
            .map_or(Some(Fencing::default()), |node| reader.choice(&node, &fencings));
        let endpoints = fields.required(reader, "endpoints").and_then(|node| {
            reader.list(&node, ENDPOINTS_PER_SET_MAX, |reader, node| {
                self.endpoint(reader, node)
            })
        });
        fields.close(reader);
        Some(EndpointSet {
            id: id?,
            site: site?,
            fencing: fencing?,
            endpoints: endpoints?,
        })
    }

    fn endpoint(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<Endpoint> {
        let mut fields = Fields::open(reader, node)?;
        let id = fields
            .required(reader, "id")
            .and_then(|node| self.endpoints.define(reader, &node));
        let address = fields
            .required(reader, "address")
            .and_then(|node| self.endpoint_address(reader, &node));
        let host_id = fields
            .required(reader, "host_id")
            .and_then(|node| reader.name(&node));
        let failure_domain = fields
            .required(reader, "failure_domain")
            .and_then(|node| self.failure_domains.read(reader, &node));
        let slots = fields
            .required(reader, "slots")
            .and_then(|node| reader.integer_u32(&node, 1..=SLOTS_MAX));
        let draining = fields
            .optional("draining")
            .map_or(Some(false), |node| reader.boolean(&node));
        fields.close(reader);
        Some(Endpoint {
            id: id?,
            address: address?,
            host_id: host_id?,
            failure_domain: failure_domain?,
            slots: slots?,
            draining: draining?,
        })
    }

    /// Reads an address that no other endpoint has. Two endpoints at one address would receive twice
    /// the number of concurrent calls that the process can serve.
    fn endpoint_address(&mut self, reader: &mut Reader<'_>, node: &Node<'_>) -> Option<String> {
        let address = reader.address(node)?;
        self.addresses.add(reader, node, &address);
        Some(address)
    }
}

/// Reads a list of references, and reports names that are listed twice.
fn reference_list(
    reader: &mut Reader<'_>,
    node: &Node<'_>,
    count_max: usize,
    kind: &str,
    references: &mut Vec<Reference>,
) -> Option<Vec<String>> {
    let mut seen = HashSet::new();
    reader.list(node, count_max, |reader, node| {
        let name = Reference::read(reader, node, references)?;
        if !seen.insert(name.clone()) {
            reader.report(node.location(), &format!("the {kind} `{name}` is listed twice"));
        }
        Some(name)
    })
}

fn budget_defaults(reader: &mut Reader<'_>, node: &Node<'_>) -> Option<BudgetDefaults> {
    let mut fields = Fields::open(reader, node)?;
    let max_tokens = fields
        .required(reader, "max_tokens")
        .and_then(|node| reader.integer(&node, 1..=BUDGET_TOKENS_MAX));
    let max_calls = fields
        .required(reader, "max_calls")
        .and_then(|node| reader.integer_u32(&node, 1..=BUDGET_CALLS_MAX));
    let max_duration_s = fields
        .required(reader, "max_duration_s")
        .and_then(|node| reader.integer(&node, 1..=BUDGET_DURATION_MAX_S));
    let completion_max_tokens = fields
        .required(reader, "completion_max_tokens")
        .and_then(|node| reader.integer(&node, 1..=COMPLETION_TOKENS_MAX));
    fields.close(reader);
    Some(BudgetDefaults {
        max_tokens: max_tokens?,
        max_calls: max_calls?,
        max_duration_s: max_duration_s?,
        completion_max_tokens: completion_max_tokens?,
    })
}
