//! Options that every command accepts, from the command line, environment variables and a file.

use {
    crate::cli::CliError,
    pico_args::Arguments,
    serde::Deserialize,
    std::{collections::BTreeMap, path::PathBuf, str::FromStr},
};

/// Format in which results are printed, from `--output`.
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

/// Nodes and token of one environment, an entry of the `--environments` file.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Environment {
    /// Operators' addresses of the nodes, as `HOST:PORT`.
    pub nodes: Vec<String>,
    /// Operators' token, sent with every call.
    pub token: String,
}

/// Options and remaining arguments of one invocation.
#[derive(Debug)]
pub struct Args {
    /// Text if not given.
    pub output: OutputFormat,
    /// Environment that the command acts on.
    pub environment: Environment,
    /// Environments by name, from `--environments`.
    pub environments: BTreeMap<String, Environment>,
    /// Name recorded with changes: `--author`, else `USER`, else `operator`.
    pub author: String,
    /// Arguments not yet consumed.
    pub rest: Arguments,
}

impl Args {
    /// Parses the common options; the command and its own options stay in `rest`.
    ///
    /// `--nodes` and `--token` override `--env`; their environment variables apply only without
    /// `--env`.
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
        let env_var = |name| std::env::var(name).ok();
        let nodes: Option<String> = rest.opt_value_from_str("--nodes")?;
        if let Some(nodes) =
            nodes.or_else(|| env_var("DRAGONFLYFERRY_NODES").filter(|_| name.is_none()))
        {
            environment.nodes = nodes.split(',').map(str::to_owned).collect();
        }
        let token: Option<String> = rest.opt_value_from_str("--token")?;
        if let Some(token) =
            token.or_else(|| env_var("DRAGONFLYFERRY_TOKEN").filter(|_| name.is_none()))
        {
            environment.token = token;
        }
        let author: Option<String> = rest.opt_value_from_str("--author")?;
        let author = author.or_else(|| env_var("USER"));
        Ok(Self {
            output: output.unwrap_or(OutputFormat::Text),
            environment,
            environments,
            author: author.unwrap_or_else(|| "operator".to_owned()),
            rest,
        })
    }

    /// Consumes the next positional argument; without one, the usage error asks for `description`.
    pub fn positional(&mut self, description: &str) -> Result<String, CliError> {
        let argument: Option<String> = self.rest.opt_free_from_str()?;
        argument.ok_or_else(|| CliError::usage(format!("name the {description}")))
    }

    /// Consumes the value of an option; a usage error if it is missing or does not parse.
    pub fn required_option<T: FromStr>(&mut self, option: &'static str) -> Result<T, CliError>
    where
        T::Err: std::fmt::Display,
    {
        Ok(self.rest.value_from_str(option)?)
    }

    /// Refuses arguments that are left after the command has consumed its own.
    ///
    /// Commands call it before they contact a node.
    pub fn finish(&mut self) -> Result<(), CliError> {
        let unused = std::mem::replace(&mut self.rest, Arguments::from_vec(Vec::new())).finish();
        match unused.first() {
            None => Ok(()),
            Some(argument) => Err(CliError::usage(format!(
                "`{}` is not understood",
                argument.to_string_lossy()
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
