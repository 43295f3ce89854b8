//! Reading files, printing what is wrong with them, and printing results.

use crate::error::CommandError;
use flaxstand_gateway::settings::SettingsError;
use flaxstand_simulation::day::{Day, DayError};
use miette::GraphicalReportHandler;
use std::path::Path;

/// Columns of the printed places of problems.
const REPORT_WIDTH: usize = 100;

/// Text of a file. A failure is printed.
pub fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| {
        eprintln!("flaxstand: cannot read {}: {error}", path.display());
        CommandError::InvalidFile
    })
}

/// Prints all that is wrong with a file: a line each, then the places in it.
pub fn print_problems<T>(parsed: Result<T, SettingsError>) -> Result<T, CommandError> {
    parsed.map_err(|problems| {
        eprintln!("{problems}\n");
        let mut report = String::new();
        let handler = GraphicalReportHandler::new().with_width(REPORT_WIDTH);
        if handler.render_report(&mut report, &problems).is_ok() {
            eprintln!("{}", places_of(&report));
        }
        CommandError::InvalidFile
    })
}

/// The report without its first lines, which repeat what was printed above.
fn places_of(report: &str) -> &str {
    let frame = report.find('╭').or(report.find(",-")).unwrap_or(0);
    let line = report[..frame].rfind('\n').map_or(0, |end| end + 1);
    &report[line..]
}

/// A day with its text. A failure is printed.
pub fn read_day(path: &Path) -> Result<(Day, String), CommandError> {
    Day::load(path).or_else(print_unreadable)
}

/// Prints why a day, or a file that names days, can't be read.
pub fn print_unreadable<T>(error: DayError) -> Result<T, CommandError> {
    match error {
        DayError::Settings(problems) => print_problems(Err(problems)),
        DayError::Io { .. } => {
            eprintln!("flaxstand: {error}");
            Err(CommandError::InvalidFile)
        }
    }
}

/// Writes a file.
pub fn write_text(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(CommandError::io(format!("cannot write {}", path.display())))
}

/// Prints a result for people and writes it as JSON where asked; `-` prints the JSON instead of the text.
pub fn print_result(
    json: serde_json::Result<String>,
    text: &str,
    json_path: Option<&Path>,
) -> Result<(), CommandError> {
    let json = json? + "\n";
    match json_path {
        Some(path) if path.as_os_str() == "-" => print!("{json}"),
        Some(path) => {
            write_text(path, &json)?;
            print!("{text}");
        }
        None => print!("{text}"),
    }
    Ok(())
}
