//! The operators' command-line client. Runs the command of [`dragonflyferry::cli`], prints an error
//! to stderr and maps it to the exit code.

use {dragonflyferry::cli, std::process::ExitCode};

#[tokio::main]
async fn main() -> ExitCode {
    let args = pico_args::Arguments::from_env();
    match cli::run(args).await {
        Ok(exit) => ExitCode::from(exit as u8),
        Err(e) => {
            eprintln!("{e}");
            ExitCode::from(e.exit_kind() as u8)
        }
    }
}
