//! Options that every command takes.

use {
    crate::cli::CliError,
    pico_args::Arguments,
    serde::Deserialize,
    std::{collections::BTreeMap, path::PathBuf, str::FromStr},
};

/// How results are printed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutputFormat {
    Json,
    Text,
}

impl FromStr for OutputFormat {
    type Err = String;

    fn from_str(s: &str) -> Result<Self, String> {
        match s {
            "json" => Ok(Self::Json),
            "text" => Ok(Self::Text),
            _ => Err("--output takes text or json".to_owned()),
        }
    }
}

/// Nodes and token of one environment.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Environment {
    /// Operators' addresses of the nodes.
    pub nodes: Vec<String>,
    pub token: String,
}

/// Options and words of one call.
#[derive(Debug)]
pub struct Args {
    pub output: OutputFormat,
    pub environment: Environment,
    /// Environments by name, from `--environments`.
    pub environments: BTreeMap<String, Environment>,
    pub author: String,
    pub rest: Arguments,
}

impl Args {
    /// Reads the options; the command and its own options stay in `rest`.
    pub fn parse(mut rest: Arguments) -> Result<Self, CliError> {
        let output = rest.opt_value_from_str("--output")?;
        let environments = read_environments(&mut rest)?;
        let name: Option<String> = rest.opt_value_from_str("--env")?;
        let mut environment = match &name {
            None => Environment::default(),
            Some(name) => environments
                .get(name)
                .cloned()
                .ok_or_else(|| CliError::usage(format!("no environment {name}")))?,
        };
        let var = |name| std::env::var(name).ok();
        let nodes: Option<String> = rest.opt_value_from_str("--nodes")?;
        if let Some(nodes) =
            nodes.or_else(|| var("DRAGONFLYFERRY_NODES").filter(|_| name.is_none()))
        {
            environment.nodes = nodes.split(',').map(str::to_owned).collect();
        }
        let token: Option<String> = rest.opt_value_from_str("--token")?;
        if let Some(token) =
            token.or_else(|| var("DRAGONFLYFERRY_TOKEN").filter(|_| name.is_none()))
        {
            environment.token = token;
        }
        let author: Option<String> = rest.opt_value_from_str("--author")?;
        let author = author.or_else(|| var("USER"));
        Ok(Self {
            output: output.unwrap_or(OutputFormat::Text),
            environment,
            environments,
            author: author.unwrap_or_else(|| "operator".to_owned()),
            rest,
        })
    }

    /// Takes the next word.
    pub fn positional(&mut self, what: &str) -> Result<String, CliError> {
        let word: Option<String> = self.rest.opt_free_from_str()?;
        word.ok_or_else(|| CliError::usage(format!("name the {what}")))
    }

    /// Takes the value of an option that must be there.
    pub fn required_option<T: FromStr>(&mut self, option: &'static str) -> Result<T, CliError>
    where
        T::Err: std::fmt::Display,
    {
        Ok(self.rest.value_from_str(option)?)
    }

    /// Refuses words and options that no command takes.
    pub fn finish(&mut self) -> Result<(), CliError> {
        let rest = std::mem::replace(&mut self.rest, Arguments::from_vec(Vec::new())).finish();
        match rest.first() {
            None => Ok(()),
            Some(word) => Err(CliError::usage(format!(
                "`{}` is not understood",
                word.to_string_lossy()
            ))),
        }
    }
}

fn read_environments(rest: &mut Arguments) -> Result<BTreeMap<String, Environment>, CliError> {
    let path: Option<PathBuf> = rest.opt_value_from_str("--environments")?;
    let path = path.or_else(|| std::env::var_os("DRAGONFLYFERRY_ENVIRONMENTS").map(PathBuf::from));
    let Some(path) = path else {
        return Ok(BTreeMap::new());
    };
    let text = std::fs::read_to_string(&path)
        .map_err(|e| CliError::usage(format!("cannot read {}: {e}", path.display())))?;
    serde_saphyr::from_str(&text).map_err(|e| CliError::usage(format!("{}: {e}", path.display())))
}
