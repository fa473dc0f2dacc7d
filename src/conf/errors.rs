//! Errors of settings and documents; docs/ERRORS.md lists their numbers.

use {snafu::Snafu, std::fmt};

/// One reason to refuse a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Error number, as in docs/ERRORS.md.
    pub code: u16,
    /// Line of the subject in the YAML source, from 1; 0 if it could not be found.
    pub line: usize,
    /// The subject, what is wrong with it and how to correct it.
    pub message: String,
}

impl Fault {
    /// Describes a problem of the YAML key `subject` and its remedy.
    ///
    /// The line is that of the first `subject:` in the source `text`.
    pub fn new(code: u16, subject: &str, problem: &str, remedy: &str, text: &str) -> Self {
        let has_key = |l: &str| l.trim_start().starts_with(&format!("{subject}:"));
        let line = text.lines().position(has_key).map_or(0, |i| i + 1);
        Self {
            code,
            line,
            message: format!("`{subject}` {problem}; {remedy}"),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} line {}: {}", self.code, self.line, self.message)
    }
}

/// Why a settings file or document was refused; `Document` prints one line for each fault.
#[derive(Debug, Snafu)]
pub enum ConfError {
    #[snafu(display("E1010 cannot read {path}: {source}; check the path"))]
    Read {
        path: String,
        source: std::io::Error,
    },
    #[snafu(display("E1011 not a valid file: {message}"))]
    Yaml { message: String },
    #[snafu(display("{}", join_lines(faults)))]
    Document { faults: Vec<Fault> },
    #[snafu(display("E1012 setting `{name}` {what}"))]
    Setting { name: &'static str, what: String },
}

impl ConfError {
    /// Wraps an error of the YAML parser, whose message has line and column.
    pub fn yaml(e: &impl fmt::Display) -> Self {
        Self::Yaml {
            message: e.to_string(),
        }
    }
}

fn join_lines(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
