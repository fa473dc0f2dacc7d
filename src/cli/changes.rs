//! Commands that change or check organisations, keys and documents, and that drain a node.
//!
//! Operators know an organisation as a team. Changes go through a node's operators' interface;
//! none is written to the store from here.

use {
    crate::{
        cli::{Args, CliError, Client, ExitKind, OutputFormat, Table},
        conf::{ConfError, Document, digest},
        core::{AdminReply, Config, ConfigChange, KeyGrant, OrganisationLimits, OrganisationName},
        platform::NodeSettings,
    },
    hyper::Method,
    serde::Serialize,
    std::{path::PathBuf, sync::Arc},
};

type CommandResult = Result<ExitKind, CliError>;

/// Prints a value on standard output: as JSON, or as the text that `text` formats.
pub fn print_output<T: Serialize>(
    output: OutputFormat,
    value: &T,
    text: impl FnOnce(&T) -> String,
) {
    match output {
        OutputFormat::Json => println!("{}", serde_json::to_string(value).unwrap_or_default()),
        OutputFormat::Text => print!("{}", text(value)),
    }
}

/// Sends a change and prints the reply; `base` is the revision that it must apply to.
async fn change(args: &Args, base: Option<u64>, change: ConfigChange) -> CommandResult {
    let client = Client::new(&args.environment)?;
    let reply = client.change(base, &args.author, change).await?;
    print_output(args.output, &reply, |reply| match reply {
        AdminReply::Accepted { revision, in_force } => format!(
            "accepted as revision {revision}; in force on {} nodes so far\n",
            in_force.len()
        ),
        other => format!("{other:?}\n"),
    });
    Ok(ExitKind::Done)
}

/// `team list | set | remove`
pub async fn organisation(mut args: Args) -> CommandResult {
    match args.positional("action: list, set or remove")?.as_str() {
        "list" => {
            args.finish()?;
            let config = Client::new(&args.environment)?.config().await?;
            print_output(args.output, &config.organisations, |organisations| {
                let mut table = Table::new(&["team", "share", "limit"]);
                for (name, limits) in organisations {
                    table.add_row(&[name, &limits.share, &limits.limit]);
                }
                table.render()
            });
            Ok(ExitKind::Done)
        }
        "set" => {
            let limits = OrganisationLimits {
                share: args.required_option("--share")?,
                limit: args.required_option("--limit")?,
            };
            let organisation = OrganisationName::from(args.positional("team")?);
            args.finish()?;
            change(
                &args,
                None,
                ConfigChange::SetOrganisation {
                    organisation,
                    limits,
                },
            )
            .await
        }
        "remove" => {
            let organisation = OrganisationName::from(args.positional("team")?);
            args.finish()?;
            change(
                &args,
                None,
                ConfigChange::RemoveOrganisation { organisation },
            )
            .await
        }
        other => Err(CliError::usage(format!("`team {other}` is not understood"))),
    }
}

/// `key list | grant | withdraw`
pub async fn key(mut args: Args) -> CommandResult {
    match args.positional("action: list, grant or withdraw")?.as_str() {
        "list" => {
            args.finish()?;
            let config = Client::new(&args.environment)?.config().await?;
            print_output(args.output, &config.keys, |keys| {
                let mut table = Table::new(&["digest", "team", "label"]);
                for (digest, grant) in keys {
                    table.add_row(&[&&digest[..16], &grant.organisation, &grant.label]);
                }
                table.render()
            });
            Ok(ExitKind::Done)
        }
        "grant" => grant_key(args).await,
        "withdraw" => {
            let key_or_digest = args.positional("key or the start of its digest")?;
            args.finish()?;
            let config = Client::new(&args.environment)?.config().await?;
            let digest = find_key(&config, &key_or_digest)?;
            change(&args, None, ConfigChange::RevokeKey { digest }).await
        }
        other => Err(CliError::usage(format!("`key {other}` is not understood"))),
    }
}

/// Generates a key and prints it once; nodes only receive its digest.
async fn grant_key(mut args: Args) -> CommandResult {
    let label: Option<String> = args.rest.opt_value_from_str("--label")?;
    let organisation = OrganisationName::from(args.positional("team")?);
    args.finish()?;
    let client = Client::new(&args.environment)?;
    if !client
        .config()
        .await?
        .organisations
        .contains_key(&organisation)
    {
        let message =
            format!("there is no team {organisation}; create it with `team set {organisation}`");
        return Err(CliError::Refused { message });
    }
    let key = format!("dff-{:032x}", rand::random::<u128>());
    let grant = KeyGrant {
        organisation,
        label: Arc::from(label.unwrap_or_default()),
    };
    let change = ConfigChange::GrantKey {
        digest: digest(&key),
        grant,
    };
    client.change(None, &args.author, change).await?;
    print_output(args.output, &key, |key| {
        format!("{key}\nThis key is not shown again.\n")
    });
    Ok(ExitKind::Done)
}

/// Finds the digest of a key, given by the key or at least 8 digits from the start of its digest.
fn find_key(config: &Config, key_or_digest: &str) -> Result<Arc<str>, CliError> {
    let full_digest = digest(key_or_digest);
    let mut matching = config.keys.keys().filter(|d| {
        **d == full_digest || (key_or_digest.len() >= 8 && d.starts_with(key_or_digest))
    });
    match (matching.next(), matching.next()) {
        (Some(digest), None) => Ok(digest.clone()),
        (None, _) => Err(CliError::usage(
            "no such key; see `dragonflyferry key list`",
        )),
        (Some(_), Some(_)) => Err(CliError::usage(
            "several keys match; give more of the digest",
        )),
    }
}

fn read_document(args: &mut Args) -> Result<Document, CliError> {
    let path = args.positional("file")?;
    let text = std::fs::read_to_string(&path).map_err(|source| ConfError::Read { path, source })?;
    Ok(Document::from_yaml(&text)?)
}

/// `check FILE | --settings FILE`: a document in YAML, or the platform's settings of a node in
/// TOML; contacts no node.
pub fn check(mut args: Args) -> CommandResult {
    let settings: Option<PathBuf> = args.rest.opt_value_from_str("--settings")?;
    if let Some(path) = settings {
        args.finish()?;
        let settings = NodeSettings::read(&path)?;
        print_output(args.output, &settings.vm, |vm| {
            format!("the settings of {vm} are good\n")
        });
        return Ok(ExitKind::Done);
    }
    let document = read_document(&mut args)?;
    args.finish()?;
    print_output(args.output, &document.queues.len(), |n| {
        format!("the document is good: {n} queues\n")
    });
    Ok(ExitKind::Done)
}

/// Prints the lines of a comparison of documents.
fn print_differences(args: &Args, lines: &Vec<String>) {
    print_output(args.output, lines, |lines| {
        if lines.is_empty() {
            return "no difference\n".to_owned();
        }
        lines.join("\n") + "\n"
    });
}

/// `diff FILE`: compares with the document in force, on the client.
pub async fn diff(mut args: Args) -> CommandResult {
    let document = read_document(&mut args)?;
    args.finish()?;
    let config = Client::new(&args.environment)?.config().await?;
    print_differences(&args, &crate::conf::diff(&config.document, &document));
    Ok(ExitKind::Done)
}

/// `try FILE`: checks and compares on a node, without a change.
pub async fn try_document(mut args: Args) -> CommandResult {
    let document = read_document(&mut args)?;
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let lines: Vec<String> = client
        .call_any_node(Method::POST, "/admin/try", Some(&document))
        .await?;
    print_differences(&args, &lines);
    Ok(ExitKind::Done)
}

/// `apply FILE [--base REVISION]`: without a base, the revision in force is read first.
pub async fn apply(mut args: Args) -> CommandResult {
    let base: Option<u64> = args.rest.opt_value_from_str("--base")?;
    let document = Box::new(read_document(&mut args)?);
    args.finish()?;
    let base = match base {
        Some(base) => base,
        None => Client::new(&args.environment)?.config().await?.revision,
    };
    change(&args, Some(base), ConfigChange::Apply { document }).await
}

/// `promote FROM TO`: applies the document in force of one environment to another, under the
/// other's name.
pub async fn promote(mut args: Args) -> CommandResult {
    let from = args.positional("environment to promote from")?;
    let to = args.positional("environment to promote to")?;
    args.finish()?;
    let find_environment = |name: &str| {
        let environment = args.environments.get(name);
        environment.cloned().ok_or_else(|| {
            CliError::usage(format!(
                "no environment {name}; list it in --environments FILE"
            ))
        })
    };
    let source = Client::new(&find_environment(&from)?)?.config().await?;
    let target = find_environment(&to)?;
    let base = Client::new(&target)?.config().await?.revision;
    let mut document = Document::clone(&source.document);
    document.environment = Arc::from(to);
    args.environment = target;
    let document = Box::new(document);
    change(&args, Some(base), ConfigChange::Apply { document }).await
}

/// `history`: the last changes of the configuration, oldest first.
pub async fn history(mut args: Args) -> CommandResult {
    args.finish()?;
    let config = Client::new(&args.environment)?.config().await?;
    print_output(args.output, &config.history, |records| {
        let mut table = Table::new(&["made from", "author", "change"]);
        for record in records {
            table.add_row(&[&record.base_revision, &record.author, &record.summary]);
        }
        format!(
            "revision {} is in force\n{}",
            config.revision,
            table.render()
        )
    });
    Ok(ExitKind::Done)
}

/// `drain ADMIN-ADDRESS`: starts the graceful stop of a node; does not wait for its end.
pub async fn drain(mut args: Args) -> CommandResult {
    let address = args.positional("operators' address of the node")?;
    args.finish()?;
    args.environment.nodes = vec![address];
    let client = Client::new(&args.environment)?;
    let reply: String = client
        .call_any_node(Method::POST, "/admin/drain", None::<&()>)
        .await?;
    print_output(args.output, &reply, |reply| format!("{reply}\n"));
    Ok(ExitKind::Done)
}
