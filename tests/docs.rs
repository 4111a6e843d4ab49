//! Checks that the files, terms, tests and log lines that the pages name exist.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

/// Pages whose links and file names are checked.
const PAGES: [&str; 7] = [
    "README.md",
    "CONTRIBUTING.md",
    "docs/architecture.md",
    "docs/glossary.md",
    "docs/operations.md",
    "docs/design.md",
    "docs/guards.md",
];
/// Prefixes of code spans that are file names, relative to the root of the repository.
const FILE_PREFIXES: [&str; 7] =
    ["src/", "docs/", "crates/", "tests/", "scripts/", "examples/", "proto/"];
/// Directories with the sources of the program and its crates.
const SOURCES: [&str; 2] = ["src", "crates"];
const INTEGRATION_TESTS: &str = "tests";
/// First words of code spans in operations.md that are commands or requests, not log lines.
const COMMANDS: [&str; 3] = ["mountgap", "cargo", "GET"];

fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

fn read(page: &str) -> String {
    let path = root().join(page);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

/// Text of the code spans in backticks, without code blocks.
fn code_spans(text: &str) -> Vec<&str> {
    let prose = text.split("```").step_by(2);
    let spans = prose.flat_map(|part| part.split('`').skip(1).step_by(2));
    spans.filter(|span| !span.is_empty()).collect()
}

/// Targets of relative links, without fragments.
fn relative_links(text: &str) -> Vec<&str> {
    let targets = text.split("](").skip(1).filter_map(|rest| rest.split(')').next());
    let targets = targets.filter(|target| !target.contains("://"));
    targets.map(|target| target.split('#').next().unwrap_or(target)).collect()
}

/// Links and file names of a page whose files don't exist.
fn dangling_names(page: &str, text: &str) -> Vec<String> {
    let directory = root().join(page).parent().map(Path::to_path_buf).unwrap_or_default();
    let links = relative_links(text).into_iter().map(|link| (link, directory.join(link)));
    let spans = code_spans(text).into_iter().filter_map(|span| span.split_whitespace().next());
    let names = spans.filter(|name| FILE_PREFIXES.iter().any(|prefix| name.starts_with(prefix)));
    let names = names.map(|name| (name, root().join(name)));
    let missing = links.chain(names).filter(|(_, path)| !path.exists());
    missing.map(|(name, _)| format!("{page}: {name}")).collect()
}

/// Cells of all rows of tables whose first heading is one of `headings`.
fn table_rows<'a>(text: &'a str, headings: &[&str]) -> Vec<Vec<&'a str>> {
    let mut rows = Vec::new();
    let mut in_table = false;
    for line in text.lines() {
        let Some(inner) = line.strip_prefix('|') else {
            in_table = false;
            continue;
        };
        let cells: Vec<&str> = inner.trim_end_matches('|').split('|').map(str::trim).collect();
        let is_separator = cells[0].starts_with("---");
        if in_table && !is_separator {
            rows.push(cells);
        } else if headings.contains(&cells[0]) {
            in_table = true;
        }
    }
    rows
}

fn rust_files(directory: &Path, files: &mut Vec<PathBuf>) {
    let entries = std::fs::read_dir(directory).expect("a readable directory");
    for entry in entries {
        let path = entry.expect("a readable directory").path();
        if path.is_dir() {
            rust_files(&path, files);
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
}

fn sources() -> String {
    text_of(&SOURCES)
}

fn text_of(directories: &[&str]) -> String {
    let mut files = Vec::new();
    for directory in directories {
        rust_files(&root().join(directory), &mut files);
    }
    let texts = files.iter().map(|file| std::fs::read_to_string(file).expect("a source file"));
    texts.collect::<Vec<_>>().join("\n")
}

/// Names of all functions that directly follow `#[test]`.
fn test_names(sources: &str) -> BTreeSet<&str> {
    let after_attributes = sources.split("#[test]\n").skip(1);
    let signatures =
        after_attributes.filter_map(|rest| rest.split_once("fn ").map(|(_, signature)| signature));
    signatures.filter_map(|signature| signature.split('(').next()).collect()
}

/// Identifiers and words of string literals in the sources, without comments.
fn words(text: &str) -> BTreeSet<&str> {
    let code = text.lines().filter(|line| !line.trim_start().starts_with("//"));
    code.flat_map(|line| line.split(|c: char| !c.is_alphanumeric() && c != '_')).collect()
}

/// The variant that serde writes as this word: `MatesGone` for `mates_gone`.
fn variant(wire_word: &str) -> String {
    let capitalized = |word: &str| word[..1].to_uppercase() + &word[1..];
    wire_word.split('_').filter(|word| !word.is_empty()).map(capitalized).collect()
}

/// Format strings of all log lines.
fn log_formats(sources: &str) -> Vec<String> {
    let calls = sources.split("log::").skip(1).filter(|call| {
        ["error!(", "warn!(", "info!(", "debug!("].iter().any(|name| call.starts_with(name))
    });
    let literals = calls.filter_map(|call| call.split('"').nth(1));
    literals.map(|literal| literal.split("\\\n").map(str::trim_start).collect()).collect()
}

/// Fixed parts of a quoted log line, which are separated by placeholders: `...`, `{}`, names like `n-1`, and words that
/// begin with a capital letter or a digit.
fn fixed_parts(quoted: &str) -> Vec<String> {
    let mut parts = vec![String::new()];
    for word in quoted.replace("...", " X ").replace("{}", " X ").split_whitespace() {
        let is_placeholder =
            word.starts_with(|first: char| first.is_uppercase() || first.is_ascii_digit());
        if is_placeholder || word.starts_with("n-") {
            parts.push(String::new());
            continue;
        }
        let part = parts.last_mut().expect("at least one part");
        if !part.is_empty() {
            part.push(' ');
        }
        part.push_str(word);
    }
    let parts =
        parts.into_iter().map(|part| part.trim_matches([':', ',', ' ', '{', '}']).to_string());
    parts.filter(|part| !part.is_empty()).collect()
}

/// Whether a format string of the program contains all fixed parts of a quoted log line in their order.
fn is_logged(quoted: &str, formats: &[String]) -> bool {
    let parts = fixed_parts(quoted);
    formats.iter().any(|format| {
        let mut rest = format.as_str();
        parts.iter().all(|part| match rest.split_once(part.as_str()) {
            Some((_, after)) => {
                rest = after;
                true
            }
            None => false,
        })
    })
}

/// Log lines that a page quotes: all code spans in tables of log lines, and spans of more than two words elsewhere.
fn quoted_log_lines(text: &str) -> Vec<&str> {
    let in_tables = table_rows(text, &["line"]).into_iter().flat_map(|row| code_spans(row[0]));
    let in_prose = code_spans(text).into_iter().filter(|span| {
        let first = span.split_whitespace().next().unwrap_or_default();
        span.split_whitespace().count() > 2 && !COMMANDS.contains(&first)
    });
    in_tables.chain(in_prose).collect()
}

#[test]
fn every_link_and_file_name_in_the_pages_exists() {
    let dangling: Vec<String> =
        PAGES.iter().flat_map(|page| dangling_names(page, &read(page))).collect();
    assert!(dangling.is_empty(), "files that don't exist: {dangling:#?}");
}

#[test]
fn a_wrong_link_or_file_name_is_found() {
    let page =
        "[a](operations.md#health) [b](nowhere.md) `src/main.rs` `src/none.rs` `tests/none/`";
    let found = dangling_names("docs/page.md", page);
    let wrong =
        ["docs/page.md: nowhere.md", "docs/page.md: src/none.rs", "docs/page.md: tests/none/"];
    assert_eq!(found, wrong);
}

#[test]
fn every_term_of_the_glossary_occurs_in_the_sources() {
    let (page, sources) = (read("docs/glossary.md"), sources());
    let known = words(&sources);
    let rows = table_rows(&page, &["wire word", "term"]);
    assert!(rows.len() > 50, "only {} rows of the glossary found", rows.len());
    for row in rows {
        for wire_word in code_spans(row[0]) {
            let is_known = known.contains(wire_word) || known.contains(variant(wire_word).as_str());
            assert!(is_known, "wire word {wire_word} of the glossary is in no source file");
        }
        for name in code_spans(row[1]) {
            assert!(known.contains(name), "code name {name} of the glossary is in no source file");
        }
    }
}

#[test]
fn every_test_that_a_guard_names_exists() {
    let page = read("docs/guards.md");
    let sources = text_of(&[SOURCES[0], SOURCES[1], INTEGRATION_TESTS]);
    let known = test_names(&sources);
    let rows = table_rows(&page, &["guard"]);
    assert!(rows.len() > 20, "only {} guards found", rows.len());
    for row in rows {
        let named = code_spans(row[2]);
        assert!(!named.is_empty(), "guard without a test: {}", row[0]);
        for test in named {
            assert!(known.contains(test), "test {test} of a guard does not exist");
        }
    }
}

#[test]
fn a_function_without_the_test_attribute_is_not_a_test() {
    let known = test_names("#[test]\nfn checked() {}\n\nfn helper() {}\n");
    assert_eq!(known, BTreeSet::from(["checked"]));
}

#[test]
fn every_log_line_in_operations_is_logged_by_the_program() {
    let (page, formats) = (read("docs/operations.md"), log_formats(&sources()));
    let quoted = quoted_log_lines(&page);
    assert!(quoted.len() > 15, "only {} log lines found", quoted.len());
    let unknown: Vec<&str> =
        quoted.into_iter().filter(|quoted| !is_logged(quoted, &formats)).collect();
    assert!(unknown.is_empty(), "log lines that the program does not have: {unknown:#?}");
}

#[test]
fn a_wrong_log_line_is_found() {
    let formats =
        log_formats("log::info!(\"{}: up, {} in {}{spot}\");\nlog::error!(\n\"term {} of {who}\")");
    assert!(is_logged("n-...: up", &formats) && is_logged("term T of WHO", &formats));
    assert!(!is_logged("n-...: down", &formats) && !is_logged("of X term T", &formats));
}
