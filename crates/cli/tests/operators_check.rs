//! `tansyhall check` on the shipped examples and on broken files.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

fn examples(directory: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let entries = std::fs::read_dir(root.join(directory)).expect("the examples are there");
    entries.map(|entry| entry.expect("a file").path()).collect()
}

fn check(files: &[PathBuf]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_tansyhall"));
    command
        .arg("check")
        .args(files)
        .output()
        .expect("tansyhall runs")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn the_shipped_examples_have_no_errors() {
    for directory in ["cooperative", "registry", "settings"] {
        let output = check(&examples(directory));
        assert_eq!(
            output.status.code(),
            Some(0),
            "{directory}: {}",
            errors(&output)
        );
    }
    let output = check(&examples("cooperative"));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(
        text.contains("policy/assistant: 4 classes, at most 5 comparisons"),
        "{text}"
    );
}

/// Directory and name of an example file, the text to replace, its replacement, and the texts that the report must contain.
const BROKEN_EXAMPLES: &[(&str, &str, &str, &str, &[&str])] = &[
    (
        "cooperative",
        "assistant.policy",
        "zone balkhu",
        "zone balku",
        &[
            "assistant.policy:14:17",
            "no zone has this name",
            "did you mean 'balkhu'?",
        ],
    ),
    (
        "cooperative",
        "assistant.policy",
        "deadline 20s",
        "deadline 20 seconds",
        &["assistant.policy:12:17", "'ms' or 's' or 'm'"],
    ),
    (
        "cooperative",
        "pools.toml",
        "zone = \"thimi\"",
        "zone = \"thimmi\"",
        &["pools.toml:", "zone = \"thimmi\"", "did you mean 'thimi'?"],
    ),
    (
        "registry",
        "sites.toml",
        "path_prefix =",
        "path_prefx =",
        &[
            "sites.toml:27:1",
            "unknown field `path_prefx`",
            "did you mean 'path_prefix'?",
        ],
    ),
    (
        "registry",
        "sites.toml",
        "kind = \"application\"",
        "kind = \"aplication\"",
        &["sites.toml:25:8", "did you mean 'application'?"],
    ),
    (
        "settings",
        "node.toml",
        "zone = \"kalimati\"",
        "zone = \"kali mati\"",
        &["node.toml", "zone = kali mati", "a-z"],
    ),
    (
        "settings",
        "node.toml",
        "[limits]",
        "[limit]",
        &["node.toml:", "did you mean 'limits'?"],
    ),
];

#[test]
fn an_error_exits_2_with_position_and_hint() {
    for (directory, name, from, to, expected) in BROKEN_EXAMPLES {
        let copies = tempfile::tempdir().expect("a directory");
        let mut files = Vec::new();
        for file in examples(directory) {
            let text = std::fs::read_to_string(&file).expect("the example is text");
            let copy = copies.path().join(file.file_name().expect("a name"));
            let is_broken = copy.ends_with(name);
            assert!(!is_broken || text.contains(from), "{name} has no {from}");
            let text = if is_broken {
                text.replacen(from, to, 1)
            } else {
                text
            };
            std::fs::write(&copy, text).expect("the copy is written");
            files.push(copy);
        }
        let output = check(&files);
        let errors = errors(&output);
        assert_eq!(output.status.code(), Some(2), "{to}: {errors}");
        for part in *expected {
            assert!(errors.contains(part), "{to}: no {part:?} in\n{errors}");
        }
    }
}

#[test]
fn an_error_in_an_inline_policy_is_reported_at_its_position_in_the_file() {
    let directory = tempfile::tempdir().expect("a directory");
    let file = directory.path().join("all.toml");
    let text = "[[policy]]\nname = 'p'\nsource = '''\nclass a {\n    deadlin 3s;\n}\n'''\n";
    std::fs::write(&file, text).expect("the file is written");
    let output = check(&[file]);
    assert_eq!(output.status.code(), Some(2));
    assert!(
        errors(&output).contains("all.toml:5:5"),
        "{}",
        errors(&output)
    );
}

#[test]
fn a_missing_file_and_an_empty_list_of_files_are_usage_errors() {
    let output = check(&[PathBuf::from("no-such-file.toml")]);
    assert_eq!(output.status.code(), Some(2));
    assert!(errors(&output).contains("no-such-file.toml"));
    assert_eq!(check(&[]).status.code(), Some(2));
}
