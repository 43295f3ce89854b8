//! Reading of files, printing of their problems, and output of results.

use crate::error::CommandError;
use flaxstand_gateway::settings::SettingsError;
use flaxstand_simulation::day::{Day, DayError};
use miette::GraphicalReportHandler;
use std::path::Path;

/// Width in columns of the printed source excerpts.
const REPORT_WIDTH: usize = 100;

/// Reads a text file; prints the error if that fails.
pub fn read_text(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| {
        eprintln!("flaxstand: cannot read {}: {error}", path.display());
        CommandError::InvalidFile
    })
}

/// Prints the problems of a file, one per line, followed by excerpts of the places in its text.
pub fn print_problems<T>(parsed: Result<T, SettingsError>) -> Result<T, CommandError> {
    parsed.map_err(|problems| {
        eprintln!("{problems}\n");
        let mut report = String::new();
        let handler = GraphicalReportHandler::new().with_width(REPORT_WIDTH);
        if handler.render_report(&mut report, &problems).is_ok() {
            eprintln!("{}", source_excerpts(&report));
        }
        CommandError::InvalidFile
    })
}

/// Strips the first lines of the report, which repeat the list of problems.
fn source_excerpts(report: &str) -> &str {
    let frame = report.find('╭').or(report.find(",-")).unwrap_or(0);
    let line = report[..frame].rfind('\n').map_or(0, |end| end + 1);
    &report[line..]
}

/// Reads a day and returns it with its text; prints the error if that fails.
pub fn read_day(path: &Path) -> Result<(Day, String), CommandError> {
    Day::load(path).or_else(print_unreadable)
}

/// Prints why a day, or a file that refers to days, is unreadable.
pub fn print_unreadable<T>(error: DayError) -> Result<T, CommandError> {
    match error {
        DayError::Settings(problems) => print_problems(Err(problems)),
        DayError::Io { .. } => {
            eprintln!("flaxstand: {error}");
            Err(CommandError::InvalidFile)
        }
    }
}

pub fn write_text(path: &Path, text: &str) -> Result<(), CommandError> {
    std::fs::write(path, text).map_err(CommandError::io(format!("cannot write {}", path.display())))
}

/// Prints a result as text and, if `json_path` is set, writes it as JSON; `-` prints the JSON instead of the
/// text.
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
