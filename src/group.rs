//! Items of a submitted job: parsing, splitting into groups and content digest (pure).

use std::sync::Arc;

use anyhow::{anyhow, bail};
use serde::Deserialize;
use sha2::{Digest, Sha256};

use crate::{
    ids::{GroupIndex, ItemId, ModelId, Set, TeamId},
    job_record::{InputRecord, Item, Repeat},
};

/// Limit on the items of a group.
pub const GROUP_ITEMS: usize = 128;
/// Limit on the items of a non-repeatable group. It bounds the items that a takeover ends as
/// may-have-run.
pub const NEVER_ITEMS: usize = 8;
/// Limit on the input of a group, in bytes after JSON escaping.
pub const GROUP_BYTES: usize = 256 << 10;
/// Limit on the results of a group, in bytes after JSON escaping. Together with states, reasons and
/// names a group object is well below the 1 MB limit on values.
pub const RESULT_BYTES: usize = 640 << 10;
/// Version of the split into groups. It is part of the digest, so that the groups of a job always come
/// from one version. A change of the limits above needs a new version.
const LAYOUT: &str = "1";
/// Limit on the tokens of a result if the item has none.
const DEFAULT_TOKENS: u32 = 256;
/// Greatest `max_tokens` of an item.
const MAX_TOKENS: u32 = 1 << 20;
/// Longest item id, in bytes.
const ID_BYTES: usize = 128;
/// Size of an item's JSON without id and prompt: field names, punctuation and numbers, in bytes.
const ITEM_OVERHEAD: usize = 96;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawItem {
    id: String,
    prompt: Arc<str>,
    max_tokens: Option<u32>,
    repeat: Option<RawRepeat>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum RawRepeat {
    Never,
}

/// A parsed item with its repeat mode and its size in JSON.
struct ParsedItem {
    item: Item,
    repeat: Repeat,
    bytes: usize,
}

/// A submitted job, split into groups. Groups of non-repeatable items come last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Groups {
    /// Groups in the order of their numbers.
    pub inputs: Vec<InputRecord>,
    /// Number of groups with non-repeatable items.
    pub never: GroupIndex,
    /// Number of items.
    pub items: u64,
    /// Digest of team, model and items.
    pub digest: Arc<str>,
}

/// Parses the items of a job, one JSON object per line, and splits them into groups.
///
/// # Errors
///
/// Returns a one-line error with the line number, the fault and the remedy.
pub fn split(body: &str, team: &TeamId, model: &ModelId) -> anyhow::Result<Groups> {
    let mut digest = Sha256::new();
    hash(&mut digest, LAYOUT);
    hash(&mut digest, team);
    hash(&mut digest, model);
    let mut ids: Set<ItemId> = Set::default();
    let mut repeatable = GroupBuilder::new(GROUP_ITEMS);
    let mut never = GroupBuilder::new(NEVER_ITEMS);
    let mut order = 0;
    for (number, line) in body.lines().enumerate() {
        if line.trim().is_empty() {
            continue;
        }
        let parsed = parse(line, order).map_err(|e| anyhow!("line {}: {e}", number + 1))?;
        if !ids.insert(parsed.item.id.clone()) {
            bail!(
                "line {}: item id '{}' stands twice; give each item its own",
                number + 1,
                parsed.item.id
            );
        }
        hash_item(&mut digest, &parsed);
        order += 1;
        match parsed.repeat {
            Repeat::Allowed => repeatable.push(parsed),
            Repeat::Never => never.push(parsed),
        }
    }
    if order == 0 {
        bail!("the job has no items; send one JSON object a line");
    }
    let mut inputs = repeatable.finish();
    let never = never.finish();
    let count = never.len() as GroupIndex;
    inputs.extend(never);
    Ok(Groups {
        inputs,
        never: count,
        items: order,
        digest: hex(&digest.finalize()).into(),
    })
}

fn parse(line: &str, order: u64) -> anyhow::Result<ParsedItem> {
    let raw: RawItem = serde_json::from_str(line).map_err(|e| anyhow!("not an item: {e}"))?;
    if !(1..=ID_BYTES).contains(&raw.id.len()) {
        bail!("item id of {} bytes; use 1 to {ID_BYTES}", raw.id.len());
    }
    let max_tokens = raw.max_tokens.unwrap_or(DEFAULT_TOKENS);
    if !(1..=MAX_TOKENS).contains(&max_tokens) {
        bail!("max_tokens {max_tokens} is out of range; use 1 to {MAX_TOKENS}");
    }
    let bytes = escaped_len(&raw.id) + escaped_len(&raw.prompt) + ITEM_OVERHEAD;
    if bytes > GROUP_BYTES {
        bail!("an item of {bytes} bytes; use at most {GROUP_BYTES}");
    }
    let item = Item {
        order,
        id: raw.id.into(),
        prompt: raw.prompt,
        max_tokens,
    };
    let repeat = raw.repeat.map_or(Repeat::Allowed, |_| Repeat::Never);
    Ok(ParsedItem {
        item,
        repeat,
        bytes,
    })
}

/// Collects items into consecutive groups.
struct GroupBuilder {
    limit: usize,
    inputs: Vec<InputRecord>,
    items: Vec<Item>,
    bytes: usize,
    results: usize,
}

impl GroupBuilder {
    fn new(limit: usize) -> Self {
        Self {
            limit,
            inputs: Vec::new(),
            items: Vec::new(),
            bytes: 0,
            results: 0,
        }
    }

    fn push(&mut self, parsed: ParsedItem) {
        let result = parsed.item.result_limit();
        let full = self.items.len() == self.limit
            || self.bytes + parsed.bytes > GROUP_BYTES
            || self.results + result > RESULT_BYTES;
        if full {
            self.close();
        }
        self.bytes += parsed.bytes;
        self.results += result;
        self.items.push(parsed.item);
    }

    fn close(&mut self) {
        let items = std::mem::take(&mut self.items);
        if !items.is_empty() {
            self.inputs.push(InputRecord { items });
        }
        self.bytes = 0;
        self.results = 0;
    }

    fn finish(mut self) -> Vec<InputRecord> {
        self.close();
        self.inputs
    }
}

/// Returns the length of a text as JSON, with escapes and quotes.
pub fn escaped_len(text: &str) -> usize {
    serde_json::to_string(text).map_or(usize::MAX, |t| t.len())
}

/// Hashes a text with its length, so that the boundaries between texts are unambiguous.
fn hash(digest: &mut Sha256, text: &str) {
    digest.update((text.len() as u64).to_le_bytes());
    digest.update(text.as_bytes());
}

fn hash_item(digest: &mut Sha256, parsed: &ParsedItem) {
    hash(digest, &parsed.item.id);
    hash(digest, &parsed.item.prompt);
    digest.update(parsed.item.max_tokens.to_le_bytes());
    digest.update([u8::from(parsed.repeat == Repeat::Never)]);
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
