//! Files that operators publish.

use std::collections::BTreeMap;
use std::path::Path;

use anyhow::{Context, anyhow, bail};
use oliveworks_core::id::{Name, Offset};
use oliveworks_core::record::Body;
use oliveworks_core::template::{Template, Workspace};
use serde::Deserialize;
use serde_json::json;

use crate::Output;

/// Content of a file of templates, workspaces and shares.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Document {
    /// Workspaces. Published before the templates, because the callers of a template are those of
    /// its workspace.
    pub workspaces: Vec<Workspace>,
    /// Templates.
    pub templates: Vec<Template>,
    /// Shares of the pool by partner, in percent.
    pub shares: Option<BTreeMap<Name, u8>>,
}

impl Document {
    /// Reads and checks a file.
    ///
    /// # Errors
    /// Returns an error that names the invalid key and, if known, its line.
    pub fn load(path: &Path) -> anyhow::Result<Document> {
        let text = std::fs::read_to_string(path).with_context(|| format!("{}", path.display()))?;
        Document::parse(&text).with_context(|| format!("{}", path.display()))
    }

    fn parse(text: &str) -> anyhow::Result<Document> {
        let document: Document = serde_saphyr::from_str(text).map_err(|e| anyhow!("{e}"))?;
        for (i, workspace) in document.workspaces.iter().enumerate() {
            workspace.check().map_err(|e| {
                let line = line_of(text, "workspaces", i, e.key());
                anyhow!("line {line}: workspaces[{i}].{e}")
            })?;
        }
        for (i, template) in document.templates.iter().enumerate() {
            template.check().map_err(|e| {
                let line = line_of(text, "templates", i, e.key());
                anyhow!("line {line}: templates[{i}].{e}")
            })?;
        }
        if let Some(shares) = &document.shares
            && shares.values().map(|s| u32::from(*s)).sum::<u32>() != 100
        {
            let line = 1 + text.lines().position(|l| l.starts_with("shares:")).unwrap_or(0);
            bail!("line {line}: shares: the sum must be 100");
        }
        if document.bodies(None).is_empty() {
            bail!("the file contains no workspaces, templates or shares");
        }
        Ok(document)
    }

    /// Returns the bodies of the records to publish, in order. `edits` is the offset of the
    /// template version that was edited.
    pub fn bodies(&self, edits: Option<Offset>) -> Vec<Body> {
        let workspaces = self.workspaces.iter().cloned();
        let templates = self.templates.iter().cloned();
        let shares = self.shares.iter().cloned();
        workspaces
            .map(|workspace| Body::PublishWorkspace { workspace })
            .chain(templates.map(|template| Body::PublishTemplate { template, edits }))
            .chain(shares.map(|shares| Body::SetShares { shares }))
            .collect()
    }
}

/// Returns the line number of a key of the `nth` item of a list. Returns the first line of the item
/// if the key is not found, and 1 if the item is not found.
fn line_of(text: &str, list: &str, nth: usize, key: &str) -> usize {
    let key = key.rsplit('.').next().unwrap_or(key);
    let mut item = None;
    let mut in_list = false;
    let mut item_line = 1;
    for (number, line) in text.lines().enumerate() {
        if !line.starts_with(' ') && !line.starts_with('-') && line.contains(':') {
            in_list = line.starts_with(list);
        }
        if !in_list {
            continue;
        }
        if line.trim_start().starts_with("- ") && line.contains(':') {
            item = Some(item.map_or(0, |i: usize| i + 1));
            if item == Some(nth) {
                item_line = number + 1;
            }
        }
        let is_key = line.trim_start().trim_start_matches("- ").starts_with(&format!("{key}:"));
        if item == Some(nth) && is_key {
            return number + 1;
        }
    }
    item_line
}

/// Runs `oliveworksctl check`.
pub fn check(path: &Path, output: Output) -> anyhow::Result<()> {
    let document = Document::load(path)?;
    let counts = json!({
        "workspaces": document.workspaces.len(),
        "templates": document.templates.len(),
        "shares": document.shares.is_some(),
    });
    match output {
        Output::Json => println!("{counts}"),
        Output::Text => println!(
            "The file is good: {} workspaces, {} templates.",
            document.workspaces.len(),
            document.templates.len()
        ),
    }
    Ok(())
}
