//! Checks that modules use only layers below their own, and that the documentation names all
//! settings, result codes, object fields and metrics.

use std::{
    fs,
    path::{Path, PathBuf},
};

use fulmarproxy::{code::Code, settings};

/// Root of the project.
fn root() -> &'static Path {
    Path::new(env!("CARGO_MANIFEST_DIR"))
}

/// Reads a page of the documentation.
fn page(name: &str) -> String {
    fs::read_to_string(root().join(name)).unwrap_or_else(|err| panic!("{name}: {err}"))
}

/// Collects the Rust source files in a directory and its subdirectories.
fn sources(dir: &Path, found: &mut Vec<PathBuf>) {
    for entry in fs::read_dir(dir).unwrap() {
        let path = entry.unwrap().path();
        if path.is_dir() {
            sources(&path, found);
        } else if path.extension().is_some_and(|end| end == "rs") {
            found.push(path);
        }
    }
}

/// Returns the top-level modules of the crate that a source file uses, such as `state` for
/// `crate::state::name`. Comment lines do not count.
fn used_modules(text: &str) -> Vec<String> {
    let mut used = Vec::new();
    let code: String = text
        .lines()
        .filter(|line| !line.trim_start().starts_with("//"))
        .collect::<Vec<_>>()
        .join(" ");
    for part in code.split("crate::").skip(1) {
        let named = part.split(';').next().unwrap();
        let first: String = part
            .chars()
            .take_while(|c| c.is_alphanumeric() || *c == '_')
            .collect();
        if !first.is_empty() {
            used.push(first);
            continue;
        }
        let mut depth = 0;
        let mut word = String::new();
        for c in named.chars() {
            match c {
                '{' => depth += 1,
                '}' => depth -= 1,
                c if (c.is_alphanumeric() || c == '_') && depth == 1 => word.push(c),
                _ => {}
            }
            if !(c.is_alphanumeric() || c == '_' || word.is_empty()) {
                used.push(std::mem::take(&mut word));
            }
            if depth == 0 {
                break;
            }
        }
    }
    used
}

#[test]
fn layers_depend_in_one_direction() {
    let layers = ["state", "coordination", "protocol", "transport", "platform"];
    let top = [
        "router", "agent", "gateway", "carrier", "ctl", "daemon", "standin", "load",
    ];
    for (rank, layer) in layers.iter().enumerate() {
        let mut found = Vec::new();
        sources(&root().join("src").join(layer), &mut found);
        assert!(!found.is_empty(), "layer {layer} has sources");
        for path in found
            .iter()
            .filter(|path| !path.ends_with("fleet_capnp.rs"))
        {
            let used = used_modules(&fs::read_to_string(path).unwrap());
            for above in layers[rank + 1..].iter().chain(&top) {
                let upward = used.iter().any(|module| module == above);
                assert!(!upward, "{} uses the layer {above}", path.display());
            }
        }
    }
}

/// Guards the check of the layers: it would pass if [`used_modules`] found nothing.
#[test]
fn used_modules_are_found_in_paths_and_groups() {
    let used = used_modules("use crate::{\n    error,\n    transport::{http, store},\n};\n");
    assert_eq!(used, ["error", "transport"]);
    assert_eq!(used_modules("let x = crate::router::X;"), ["router"]);
}

#[test]
fn every_setting_is_documented() {
    let page = page("docs/SETTINGS.md");
    for setting in settings::SETTINGS {
        let row = format!("| `--{}` | `{}` |", setting.flag, setting.env);
        assert!(
            page.contains(&row),
            "docs/SETTINGS.md lacks the row {row:?}"
        );
        if let Some(default) = setting.default {
            let line = page.lines().find(|line| line.starts_with(&row)).unwrap();
            let named = line.contains(&format!("`{default}`"));
            assert!(
                named,
                "docs/SETTINGS.md lacks the default {default:?} in {line:?}"
            );
        }
    }
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| `--"))
        .count();
    assert_eq!(
        rows,
        settings::SETTINGS.len(),
        "docs/SETTINGS.md has a row for an unknown setting"
    );
}

#[test]
fn every_code_is_documented() {
    let page = page("docs/ERRORS.md");
    for code in Code::ALL {
        let row = format!("| {} | `{code}` | {} |", code as u16, code.http_status());
        assert!(page.contains(&row), "docs/ERRORS.md lacks the row {row:?}");
        assert_eq!(Code::from_number(code as u16), Some(code));
    }
    let rows = page
        .lines()
        .filter(|line| line.starts_with('|') && line.contains("` | "));
    assert_eq!(
        rows.count(),
        Code::ALL.len(),
        "docs/ERRORS.md has a row for an unknown code"
    );
}

#[test]
fn every_object_field_is_documented() {
    let page = page("docs/OBJECTS.md");
    for object in ["workspace", "budget", "route", "pool"] {
        let section = page.split(&format!("## `[[{object}]]`")).nth(1);
        let section = section.unwrap_or_else(|| panic!("docs/OBJECTS.md lacks {object}"));
        let section = section.split("\n## ").next().unwrap();
        let source = fs::read_to_string(root().join(format!("src/state/{object}.rs"))).unwrap();
        let body = source
            .split("pub struct ")
            .nth(1)
            .unwrap()
            .split("\n}")
            .next()
            .unwrap();
        let fields = body
            .lines()
            .filter_map(|line| line.trim().strip_prefix("pub "));
        for field in fields.filter_map(|field| field.split(':').next()) {
            let row = format!("| `{field}` |");
            assert!(
                section.contains(&row),
                "docs/OBJECTS.md lacks {field} of {object}"
            );
        }
    }
}

#[test]
fn every_metric_is_documented() {
    let page = page("docs/METRICS.md");
    let mut found = Vec::new();
    sources(&root().join("src"), &mut found);
    for path in found {
        let text = fs::read_to_string(&path).unwrap();
        for part in text.split("\"fulmar_").skip(1) {
            let name = format!("`fulmar_{}`", part.split('"').next().unwrap());
            assert!(
                page.contains(&name),
                "docs/METRICS.md lacks {name} of {}",
                path.display()
            );
        }
    }
}
