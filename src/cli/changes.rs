//! Commands that change teams, keys and documents.

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

type Done = Result<ExitKind, CliError>;

/// Prints a value as JSON, or as the text made of it.
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

async fn change(args: &Args, base: Option<u64>, change: ConfigChange) -> Done {
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

/// `organisation list | set | remove`
pub async fn organisation(mut args: Args) -> Done {
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
pub async fn key(mut args: Args) -> Done {
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
            let named = args.positional("key or the start of its digest")?;
            args.finish()?;
            let config = Client::new(&args.environment)?.config().await?;
            let digest = find_key(&config, &named)?;
            change(&args, None, ConfigChange::RevokeKey { digest }).await
        }
        other => Err(CliError::usage(format!("`key {other}` is not understood"))),
    }
}

async fn grant_key(mut args: Args) -> Done {
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
    let granted = ConfigChange::GrantKey {
        digest: digest(&key),
        grant,
    };
    client.change(None, &args.author, granted).await?;
    print_output(args.output, &key, |key| {
        format!("{key}\nThis key is not shown again.\n")
    });
    Ok(ExitKind::Done)
}

fn find_key(config: &Config, named: &str) -> Result<Arc<str>, CliError> {
    let whole = digest(named);
    let mut matching = config
        .keys
        .keys()
        .filter(|d| **d == whole || (named.len() >= 8 && d.starts_with(named)));
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

/// `check FILE`: a document in YAML, or the platform's settings of a node in TOML.
pub fn check(mut args: Args) -> Done {
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

fn print_lines(args: &Args, lines: &Vec<String>) {
    print_output(args.output, lines, |lines| {
        if lines.is_empty() {
            return "no difference\n".to_owned();
        }
        lines.join("\n") + "\n"
    });
}

/// `diff FILE`
pub async fn diff(mut args: Args) -> Done {
    let document = read_document(&mut args)?;
    args.finish()?;
    let config = Client::new(&args.environment)?.config().await?;
    print_lines(&args, &crate::conf::diff(&config.document, &document));
    Ok(ExitKind::Done)
}

/// `try FILE`
pub async fn try_document(mut args: Args) -> Done {
    let document = read_document(&mut args)?;
    args.finish()?;
    let client = Client::new(&args.environment)?;
    let lines: Vec<String> = client
        .call_any_node(Method::POST, "/admin/try", Some(&document))
        .await?;
    print_lines(&args, &lines);
    Ok(ExitKind::Done)
}

/// `apply FILE`
pub async fn apply(mut args: Args) -> Done {
    let base: Option<u64> = args.rest.opt_value_from_str("--base")?;
    let document = Box::new(read_document(&mut args)?);
    args.finish()?;
    let base = match base {
        Some(base) => base,
        None => Client::new(&args.environment)?.config().await?.revision,
    };
    change(&args, Some(base), ConfigChange::Apply { document }).await
}

/// `promote FROM TO`
pub async fn promote(mut args: Args) -> Done {
    let from = args.positional("environment to promote from")?;
    let to = args.positional("environment to promote to")?;
    args.finish()?;
    let named = |name: &str| {
        let found = args.environments.get(name);
        found.cloned().ok_or_else(|| {
            CliError::usage(format!(
                "no environment {name}; list it in --environments FILE"
            ))
        })
    };
    let source = Client::new(&named(&from)?)?.config().await?;
    let target = named(&to)?;
    let base = Client::new(&target)?.config().await?.revision;
    let mut document = Document::clone(&source.document);
    document.environment = Arc::from(to);
    args.environment = target;
    let document = Box::new(document);
    change(&args, Some(base), ConfigChange::Apply { document }).await
}

/// `history`
pub async fn history(mut args: Args) -> Done {
    args.finish()?;
    let config = Client::new(&args.environment)?.config().await?;
    print_output(args.output, &config.history, |notes| {
        let mut table = Table::new(&["made from", "author", "change"]);
        for note in notes {
            table.add_row(&[&note.base_revision, &note.author, &note.summary]);
        }
        format!(
            "revision {} is in force\n{}",
            config.revision,
            table.render()
        )
    });
    Ok(ExitKind::Done)
}

/// `drain ADDRESS`
pub async fn drain(mut args: Args) -> Done {
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
