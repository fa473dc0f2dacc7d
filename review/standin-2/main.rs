//! `rig CASE RECORD`: plays one case of review 2. Exits with 1 if the rule was broken, 0 if it held
//! and 2 if the case could not run. `TROUBLE=0` leaves out the disturbance.

mod grey;
mod late;
mod reborn;
mod rig;
mod timed;
mod waiting;

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = rig::Record::new(&args[2]);
    let code = match args[1].as_str() {
        "reborn" => reborn::play(&record, trouble),
        "timed" => timed::play(&record, trouble),
        "grey" => grey::play(&record, trouble),
        "waiting" => waiting::play(&record, trouble),
        "late" => late::play(&record, trouble),
        _ => 2,
    };
    record.line(&format!("exit code {code}"));
    let _ = std::fs::remove_dir_all(rig::scratch(&args[1]));
    std::process::exit(code);
}
