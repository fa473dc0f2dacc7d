//! Errors of settings and documents; the numbers are in docs/ERRORS.md.

use {snafu::Snafu, std::fmt};

/// One reason to refuse a document.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    pub code: u16,
    /// Line of the text, from 1; 0 if it could not be found.
    pub line: usize,
    pub message: String,
}

impl Fault {
    /// Describes a fault of `subject` and how to mend it.
    pub fn new(code: u16, subject: &str, what: &str, mend: &str, text: &str) -> Self {
        let starts = |l: &str| l.trim_start().starts_with(&format!("{subject}:"));
        let line = text.lines().position(starts).map_or(0, |i| i + 1);
        Self {
            code,
            line,
            message: format!("`{subject}` {what}; {mend}"),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "E{} line {}: {}", self.code, self.line, self.message)
    }
}

/// Why a settings file or document was refused.
#[derive(Debug, Snafu)]
pub enum ConfError {
    #[snafu(display("E1010 cannot read {path}: {source}; check the path"))]
    Read {
        path: String,
        source: std::io::Error,
    },
    #[snafu(display("E1011 not a valid file: {message}"))]
    Yaml { message: String },
    #[snafu(display("{}", list(faults)))]
    Document { faults: Vec<Fault> },
    #[snafu(display("E1012 setting `{name}` {what}"))]
    Setting { name: &'static str, what: String },
}

impl ConfError {
    /// Wraps an error of the YAML reader, which names line and column.
    pub fn yaml(e: &impl fmt::Display) -> Self {
        Self::Yaml {
            message: e.to_string(),
        }
    }
}

fn list(faults: &[Fault]) -> String {
    let lines: Vec<String> = faults.iter().map(Fault::to_string).collect();
    lines.join("\n")
}
